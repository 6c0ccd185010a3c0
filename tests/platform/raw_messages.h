#pragma once

#include <string>

namespace fuchsiadrum::gateway {

/// Head of a caller's request as text. `fields` follow the id, each with its
/// line end; the empty line that ends the head is left to the caller.
inline std::string RawPost(const std::string& path, const std::string& id,
                           const std::string& fields) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: choir.example\r\nAttempt-Id: " + id + "\r\n" +
         fields;
}

/// Field with the time that the caller waits.
inline std::string RawDeadline(int ms) {
  return "Deadline-Ms: " + std::to_string(ms) + "\r\n";
}

/// Head of an upstream's answer to the request with this id as text, without
/// its framing.
inline std::string RawSignedHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
         "\r\nRunner-Signature: s1\r\n";
}

}  // namespace fuchsiadrum::gateway
