#include "standin/service.h"

namespace fuchsiadrum::standin {
namespace {

constexpr std::chrono::milliseconds kSilentStep(5);

std::string Text(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

}  // namespace

asio::awaitable<void> Service::Handle(Request request, Responder& out) {
  const std::string target = Text(request.target());
  if (target == "/fault") {
    co_await this->HandleFault(request.body(), out);
    co_return;
  }
  if (target == "/record") {
    co_await out.SendJson(200, this->Record());
    co_return;
  }
  while (this->silent) {
    co_await out.Sleep(kSilentStep);
  }
  out.NameRequest(request);
  if (this->leaving) out.Set("X-Leaving", "true");
  if (target == "/v1/load") {
    co_await out.SendJson(200, this->Load());
    co_return;
  }
  if (this->reject) {
    out.Set("X-Not-Run", "true");
    co_await out.SendJson(503, Field("error", "not run"));
    co_return;
  }

  const size_t number = this->AddCall(request);
  ++this->running;
  co_await out.Sleep(std::chrono::milliseconds(this->options.delay_ms));
  --this->running;
  if (this->lose_answers) {
    out.Abort();
    co_return;
  }
  co_await out.SendJson(200, this->Answer(number));
}

asio::awaitable<void> Service::HandleFault(const std::string& body,
                                           Responder& out) {
  const auto fault = nlohmann::json::parse(body, nullptr, false);
  if (!fault.is_object()) {
    co_await out.SendJson(400, Field("error", "a JSON object is needed"));
    co_return;
  }
  this->silent = fault.value("silent", this->silent);
  this->lose_answers = fault.value("lose_answers", this->lose_answers);
  this->reject = fault.value("reject", this->reject);
  this->leaving = fault.value("leaving", this->leaving);
  co_await out.SendJson(200, Field("ok", true));
}

size_t Service::AddCall(const Request& request) {
  this->calls.push_back({.method = Text(request.method_string()),
                         .target = Text(request.target()),
                         .request_id = Text(request["X-Request-Id"]),
                         .key = Text(request["Idempotency-Key"])});
  return this->calls.size();
}

nlohmann::json Service::Load() const {
  return {
      {"running", this->running}, {"queued", 0}, {"leaving", this->leaving}};
}

nlohmann::json Service::Answer(size_t number) const {
  const Call& call = this->calls[number - 1];
  return {{"service", this->options.name},
          {"call", number},
          {"target", call.target},
          {"request_id", call.request_id}};
}

nlohmann::json Service::Record() const {
  nlohmann::json out = nlohmann::json::array();
  for (const Call& call : this->calls) {
    out.push_back({{"method", call.method},
                   {"target", call.target},
                   {"request_id", call.request_id},
                   {"key", call.key}});
  }
  return {{"name", this->options.name}, {"calls", out}};
}

}  // namespace fuchsiadrum::standin
