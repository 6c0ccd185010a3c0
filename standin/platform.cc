#include "standin/platform.h"

#include <algorithm>
#include <chrono>

#include "fuchsiadrum/core/base64.h"

namespace fuchsiadrum::standin {
namespace {

constexpr std::string_view kStreams = "/v1/streams/";
constexpr std::string_view kRecords = "/records";
constexpr std::string_view kWeights = "/v1/weights/";
constexpr uint64_t kMaxWaitMs = 5000;
constexpr std::chrono::milliseconds kPollStep(2);

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Platform::Platform(asio::io_context& context, PlatformOptions options)
    : context(context), options(options), rng(options.seed) {}

asio::awaitable<void> Platform::Handle(Request request, Responder& out) {
  const Target target = ParseTarget(
      std::string_view(request.target().data(), request.target().size()));
  if (target.path == "/fault") {
    co_await this->HandleFault(request.body(), out);
    co_return;
  }
  if (this->down) {
    out.Abort();
    co_return;
  }
  if (this->slow_ms > 0) {
    co_await out.Sleep(std::chrono::milliseconds(this->slow_ms));
  }

  if (target.path.starts_with(kStreams) && target.path.ends_with(kRecords)) {
    const std::string name = target.path.substr(
        kStreams.size(),
        target.path.size() - kStreams.size() - kRecords.size());
    Log& log = this->logs[name];
    if (request.method() == http::verb::post) {
      co_await this->HandleAppend(log, request.body(), out);
    } else {
      co_await this->HandleRead(log, target, out);
    }
  } else if (target.path == "/v1/vms") {
    co_await this->HandleVms(request, out);
  } else if (target.path.starts_with(kWeights)) {
    co_await out.SendJson(200, Field("granted_ms", 50));
  } else {
    co_await out.SendJson(404, Field("error", "no such path"));
  }
}

asio::awaitable<void> Platform::HandleAppend(Log& log, const std::string& body,
                                             Responder& out) {
  if (!this->TakeAppendSlot()) {
    out.Set("Retry-After", "1");
    co_await out.SendJson(429, Field("error", "too many appends"));
    co_return;
  }
  log.entries.push_back({body, NowMs()});
  const uint64_t offset = log.End() - 1;
  this->Trim(log);

  // The append has taken effect; only its answer is lost.
  if (this->rng.Chance(this->lose_answers)) {
    out.Abort();
    co_return;
  }
  co_await out.SendJson(200, Field("offset", offset));
}

asio::awaitable<void> Platform::HandleRead(Log& log, const Target& target,
                                           Responder& out) {
  const uint64_t from = target.Number("from", 0);
  const uint64_t max = target.Number("max", 1000);
  const int64_t until = NowMs() + static_cast<int64_t>(std::min(
                                      kMaxWaitMs, target.Number("wait_ms", 0)));
  while (from >= log.End() && NowMs() < until && !this->down) {
    co_await out.Sleep(kPollStep);
  }
  if (this->down) {
    out.Abort();
    co_return;
  }

  this->Trim(log);
  if (from < log.first) {
    co_await out.SendJson(410, Bounds(log));
    co_return;
  }
  co_await out.SendJson(200, Records(log, from, max));
}

nlohmann::json Platform::Bounds(const Log& log) {
  return {{"first", log.first}, {"end", log.End()}};
}

nlohmann::json Platform::Records(const Log& log, uint64_t from, uint64_t max) {
  nlohmann::json records = nlohmann::json::array();
  for (uint64_t i = from; i < log.End() && records.size() < max; ++i) {
    records.push_back(ToBase64(log.entries[i - log.first].data));
  }
  nlohmann::json out = Bounds(log);
  out["from"] = from;
  out["records"] = std::move(records);
  return out;
}

asio::awaitable<void> Platform::HandleVms(const Request& request,
                                          Responder& out) {
  if (request.method() == http::verb::post) {
    const auto body = nlohmann::json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("name")) {
      co_await out.SendJson(400, Field("error", "name is missing"));
      co_return;
    }
    this->vms[body["name"].get<std::string>()] = {
        .leaving = body.value("leaving", false),
        .gone = body.value("gone", false),
        .visible_at_ms = NowMs() + this->options.vm_lag_ms};
    co_await out.SendJson(200, Field("ok", true));
    co_return;
  }

  co_await out.SendJson(200, Field("vms", this->VisibleVms()));
}

nlohmann::json Platform::VisibleVms() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, vm] : this->vms) {
    if (vm.visible_at_ms > NowMs() || vm.gone) continue;
    list.push_back({{"name", name}, {"leaving", vm.leaving}});
  }
  return list;
}

asio::awaitable<void> Platform::HandleFault(const std::string& body,
                                            Responder& out) {
  const auto fault = nlohmann::json::parse(body, nullptr, false);
  if (!fault.is_object()) {
    co_await out.SendJson(400, Field("error", "a JSON object is needed"));
    co_return;
  }
  this->down = fault.value("down", this->down);
  this->slow_ms = fault.value("slow_ms", this->slow_ms);
  this->lose_answers = fault.value("lose_answers", this->lose_answers);
  if (fault.contains("trim_before")) {
    const uint64_t before = fault["trim_before"];
    for (auto& [name, log] : this->logs) {
      while (log.first < before && !log.entries.empty()) {
        log.entries.pop_front();
        ++log.first;
      }
    }
  }
  co_await out.SendJson(200, Field("ok", true));
}

void Platform::Trim(Log& log) {
  if (this->options.retention_ms == 0) return;
  const int64_t oldest = NowMs() - this->options.retention_ms;
  while (!log.entries.empty() && log.entries.front().at_ms < oldest) {
    log.entries.pop_front();
    ++log.first;
  }
}

bool Platform::TakeAppendSlot() {
  const int64_t now = NowMs();
  const double rate = this->options.appends_per_second;
  const double refill =
      static_cast<double>(now - this->slots_at_ms) * rate / 1000.0;
  this->append_slots = std::min(rate, this->append_slots + refill);
  this->slots_at_ms = now;
  if (this->append_slots < 1.0) return false;
  this->append_slots -= 1.0;
  return true;
}

}  // namespace fuchsiadrum::standin
