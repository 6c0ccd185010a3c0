#include "ctl/admin_client.h"

// Boost 1.74's Asio uses std::exchange without including <utility>.
// clang-format off
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
// clang-format on

namespace fuchsiadrum::ctl {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr uint64_t kMaxBodyBytes = 256ULL << 20U;
/// Maximum number of bytes buffered for the parser, which does not limit the
/// length of a chunk-size line itself.
constexpr size_t kMaxBufferedBytes = 131072;

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("an address needs the form IP:port");
  }
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

nlohmann::json AdminResponse::Json() const {
  nlohmann::json parsed = nlohmann::json::parse(this->body, nullptr, false);
  return parsed.is_discarded() ? nlohmann::json() : parsed;
}

std::optional<AdminResponse> AdminClient::Get(const std::string& target) {
  return this->Exchange("GET", target, "");
}

std::optional<AdminResponse> AdminClient::Post(const std::string& target,
                                               const nlohmann::json& body) {
  return this->Exchange("POST", target, body.dump());
}

std::optional<AdminResponse> AdminClient::Exchange(const std::string& method,
                                                   const std::string& target,
                                                   const std::string& body) {
  try {
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    http::request<http::string_body> request(http::string_to_verb(method),
                                             target, 11);
    request.set(http::field::host, this->options.address);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();

    // Asynchronous calls, because only they honour the stream's timeout.
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    beast::flat_buffer buffer(kMaxBufferedBytes);
    beast::error_code error;
    stream.expires_after(this->options.timeout);
    stream.async_connect(
        ParseEndpoint(this->options.address), [&](beast::error_code e) {
          error = e;
          if (e) return;
          http::async_write(stream, request, [&](beast::error_code e2, size_t) {
            error = e2;
            if (e2) return;
            http::async_read(stream, buffer, parser,
                             [&](beast::error_code e3, size_t) { error = e3; });
          });
        });
    context.run();
    if (error) throw beast::system_error(error);
    // A daemon that dies closes its connections, too.
    if (parser.need_eof()) {
      throw std::runtime_error("the answer has no length");
    }
    return AdminResponse{.status = static_cast<int>(parser.get().result_int()),
                         .body = std::move(parser.get().body())};
  } catch (const std::exception& error) {
    this->last_reason = {.step = method + " " + target,
                         .peer = this->options.address,
                         .text = error.what()};
    return std::nullopt;
  }
}

}  // namespace fuchsiadrum::ctl
