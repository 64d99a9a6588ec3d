#include "core/csv_reader.h"

namespace lentilrack::core {

namespace {

/// Reads the records of a text one by one.
class RecordReader
{
public:
  explicit RecordReader(std::string_view text)
    : mText(text)
  {
  }

  bool atEnd() const { return mPosition == mText.size(); }
  char peek() const { return atEnd() ? '\n' : mText[mPosition]; }

  Result<CsvRecord, FormatError> record()
  {
    CsvRecord cells;
    while (true) {
      auto cell = peek() == '"' ? quotedCell() : plainCell();
      if (!cell) {
        return cell.error();
      }
      cells.push_back(std::move(cell.value()));
      if (peek() == ',') {
        advance();
        continue;
      }
      skipLineEnd();
      return cells;
    }
  }

  void skipLine()
  {
    while (!atEnd() && peek() != '\n') {
      advance();
    }
    skipLineEnd();
  }

private:
  bool atLineEnd() const
  {
    return atEnd() || peek() == '\n' ||
           mText.substr(mPosition).starts_with("\r\n");
  }

  void skipLineEnd()
  {
    while (!atEnd() && mText[mPosition] == '\r') {
      advance();
    }
    if (!atEnd()) {
      advance();
    }
  }

  void advance()
  {
    if (mText[mPosition] == '\n') {
      ++mLine;
      mLineStart = mPosition + 1;
    }
    ++mPosition;
  }

  CsvCell newCell() const { return { "", mLine, mPosition - mLineStart + 1 }; }

  FormatError error(std::string message) const
  {
    return { mLine, mPosition - mLineStart + 1, std::move(message) };
  }

  Result<CsvCell, FormatError> plainCell()
  {
    auto cell = newCell();
    while (!atLineEnd() && peek() != ',') {
      if (peek() == '"') {
        return error("a quote inside a cell; put the whole cell in quotes and "
                     "double the quote");
      }
      cell.text += peek();
      advance();
    }
    return cell;
  }

  Result<CsvCell, FormatError> quotedCell()
  {
    auto cell = newCell();
    advance();
    while (true) {
      if (atEnd()) {
        return FormatError{ cell.line, cell.column, "the quote is not closed" };
      }
      const char c = peek();
      advance();
      if (c != '"') {
        cell.text += c;
      } else if (!atEnd() && peek() == '"') {
        cell.text += '"';
        advance();
      } else {
        break;
      }
    }
    if (!atLineEnd() && peek() != ',') {
      return error("text after a closing quote; allowed: a comma or the end of "
                   "the line");
    }
    return cell;
  }

  std::string_view mText;
  std::size_t mPosition = 0;
  std::size_t mLine = 1;
  std::size_t mLineStart = 0;
};

} // namespace

Result<std::vector<CsvRecord>, FormatError>
parseCsv(std::string_view text)
{
  std::vector<CsvRecord> records;
  RecordReader reader(text);
  while (!reader.atEnd()) {
    if (reader.peek() == '#') {
      reader.skipLine();
      continue;
    }
    auto record = reader.record();
    if (!record) {
      return record.error();
    }
    const bool isEmptyLine =
      record.value().size() == 1 && record.value().front().text.empty();
    if (!isEmptyLine) {
      records.push_back(std::move(record.value()));
    }
  }
  return records;
}

std::string
quoteCsvCell(const std::string& text)
{
  if (text.find_first_of(",\"\r\n") == std::string::npos &&
      !text.starts_with("#")) {
    return text;
  }
  std::string quoted = "\"";
  for (const char c : text) {
    quoted += c;
    if (c == '"') {
      quoted += '"';
    }
  }
  return quoted + "\"";
}

} // namespace lentilrack::core
