#pragma once

#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace lentilrack::core {

namespace outcome = boost::outcome_v2;

/// A value or an error. `E` is std::error_code or an error type with more
/// details. Accessing the value of an error, or the reverse, is undefined
/// behaviour.
template<typename T, typename E = std::error_code>
using Result = outcome::basic_result<T, E, outcome::policy::all_narrow>;

} // namespace lentilrack::core
