#include "standin/http_server.h"

#include <stdexcept>

namespace fuchsiadrum::standin {
namespace {

constexpr uint64_t kMaxBodyBytes = 64ULL << 20U;

std::string DecodePercent(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

}  // namespace

void Responder::NameRequest(const Request& request) {
  for (const char* name : {"X-Request-Id", "X-Attempt"}) {
    const auto value = request[name];
    if (!value.empty()) this->Set(name, {value.data(), value.size()});
  }
}

asio::awaitable<void> Responder::Send(int status, std::string content_type,
                                      std::string body) {
  http::response<http::string_body> response(static_cast<http::status>(status),
                                             this->version);
  response.set(http::field::content_type, content_type);
  for (const auto& [name, value] : this->headers) response.set(name, value);
  response.keep_alive(this->keep_alive);
  response.body() = std::move(body);
  response.prepare_payload();
  co_await http::async_write(this->stream, response, asio::use_awaitable);
}

asio::awaitable<void> Responder::SendJson(int status,
                                          const nlohmann::json& body) {
  co_await this->Send(status, "application/json", body.dump());
}

asio::awaitable<void> Responder::Begin(int status,
                                       const std::string& content_type) {
  http::response<http::empty_body> response(static_cast<http::status>(status),
                                            this->version);
  response.set(http::field::content_type, content_type);
  for (const auto& [name, value] : this->headers) response.set(name, value);
  response.keep_alive(this->keep_alive);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  co_await http::async_write_header(this->stream, serializer,
                                    asio::use_awaitable);
}

asio::awaitable<void> Responder::Chunk(std::string_view data) {
  co_await asio::async_write(
      this->stream,
      http::make_chunk(asio::const_buffer(data.data(), data.size())),
      asio::use_awaitable);
}

asio::awaitable<void> Responder::End() {
  co_await asio::async_write(this->stream, http::make_chunk_last(),
                             asio::use_awaitable);
}

void Responder::Abort() {
  this->aborted = true;
  beast::error_code ignored;
  this->stream.socket().close(ignored);
}

asio::awaitable<void> Responder::Sleep(std::chrono::microseconds time) {
  asio::steady_timer timer(this->stream.get_executor(), time);
  co_await timer.async_wait(asio::use_awaitable);
}

uint64_t Target::Number(const std::string& name, uint64_t fallback) const {
  const auto found = this->query.find(name);
  return found == this->query.end() ? fallback : std::stoull(found->second);
}

Target ParseTarget(std::string_view target) {
  Target out;
  const size_t mark = target.find('?');
  out.path = DecodePercent(target.substr(0, mark));
  if (mark == std::string_view::npos) return out;

  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    out.query[DecodePercent(pair.substr(0, equals))] =
        DecodePercent(pair.substr(equals + 1));
  }
  return out;
}

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("address without a port: " + address);
  }
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
}

HttpServer::HttpServer(asio::io_context& context, const std::string& address,
                       Role& role)
    : acceptor(context, ParseEndpoint(address)), role(role) {
  asio::co_spawn(context, this->Accept(), asio::detached);
}

void HttpServer::Close() {
  beast::error_code ignored;
  this->acceptor.close(ignored);
}

asio::awaitable<void> HttpServer::Accept() {
  for (;;) {
    beast::error_code error;
    asio::ip::tcp::socket socket = co_await this->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    asio::co_spawn(this->acceptor.get_executor(),
                   this->Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::Serve(asio::ip::tcp::socket socket) {
  Stream stream(std::move(socket));
  beast::flat_buffer buffer;
  beast::error_code ignored;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);

  try {
    for (;;) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
      Request request = parser.release();
      Responder responder(stream, request);
      co_await this->role.Handle(std::move(request), responder);
      if (!responder.IsReusable()) co_return;
    }
  } catch (const std::exception&) {
    // The peer closed its connection or sent something malformed.
  }
}

}  // namespace fuchsiadrum::standin
