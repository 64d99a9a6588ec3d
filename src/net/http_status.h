#pragma once

/// HTTP status codes used in several parts of the system.
namespace lentilrack::net::status {

inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
inline constexpr int kNoContent = 204;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
/// The process at this address is not the one that the request was meant for.
inline constexpr int kMisdirected = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServerError = 500;
inline constexpr int kUnavailable = 503;

} // namespace lentilrack::net::status
