#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace fuchsiadrum::settings {
namespace {

bool IsIp(const std::string& text, int family) {
  in6_addr address{};
  return inet_pton(family, text.c_str(), &address) == 1;
}

}  // namespace

std::string Endpoint::ToString() const {
  const bool v6 = this->ip.find(':') != std::string::npos;
  return (v6 ? "[" + this->ip + "]" : this->ip) + ":" +
         std::to_string(this->port);
}

std::optional<Endpoint> Endpoint::Parse(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;

  Endpoint out;
  out.ip = text.substr(0, colon);
  const char* end = text.data() + text.size();
  const auto [at, error] =
      std::from_chars(text.data() + colon + 1, end, out.port);
  if (error != std::errc() || at != end) return std::nullopt;

  if (out.ip.size() > 2 && out.ip.front() == '[' && out.ip.back() == ']') {
    out.ip = out.ip.substr(1, out.ip.size() - 2);
    return IsIp(out.ip, AF_INET6) ? std::optional(out) : std::nullopt;
  }
  return IsIp(out.ip, AF_INET) ? std::optional(out) : std::nullopt;
}

std::optional<PeerAddress> PeerAddress::Parse(const std::string& text) {
  const size_t first = text.find('@');
  const size_t second =
      first == std::string::npos ? first : text.find('@', first + 1);
  if (second == std::string::npos || first == 0 || second == first + 1) {
    return std::nullopt;
  }
  const auto endpoint = Endpoint::Parse(text.substr(second + 1));
  if (!endpoint || endpoint->port == 0) return std::nullopt;

  PeerAddress out;
  out.vm.ref.vm = text.substr(0, first);
  out.vm.availability_zone = text.substr(first + 1, second - first - 1);
  out.endpoint = *endpoint;
  return out;
}

}  // namespace fuchsiadrum::settings
