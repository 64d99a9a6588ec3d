#include "ctl/random_token.h"

#include <sodium.h>

#include <vector>

namespace lentilrack::ctl {

std::string
randomBase64Url(std::size_t bytes)
{
  std::vector<unsigned char> random(bytes);
  randombytes_buf(random.data(), random.size());
  std::string text(
    sodium_base64_encoded_len(bytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING),
    '\0');
  sodium_bin2base64(text.data(),
                    text.size(),
                    random.data(),
                    random.size(),
                    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  text.pop_back();
  return text;
}

std::string
generateToken()
{
  constexpr std::size_t kTokenBytes = 32;
  return randomBase64Url(kTokenBytes);
}

} // namespace lentilrack::ctl
