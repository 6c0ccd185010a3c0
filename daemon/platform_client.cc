#include "daemon/platform_client.h"

#include <algorithm>
#include <utility>

#include "daemon/platform_json.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr int kMaxRecords = 1000;
// A long poll ends well within the timeout.
constexpr uint64_t kMaxWaitMs = 1000;
constexpr Duration kReadRetry = std::chrono::milliseconds(200);
constexpr Duration kVmsInterval = std::chrono::seconds(1);

const std::string& VmListAddress(const pb::PlatformSettings& settings) {
  return settings.vm_list().empty() ? settings.log() : settings.vm_list();
}

}  // namespace

void PlatformChannel::Call(std::string_view method, const std::string& target,
                           std::string_view body, const HttpCallLimits& limits,
                           HttpCall::OnAnswer handler) {
  const bool open = this->connection && this->connection->IsReusable();
  if (!open) {
    if (this->connection) this->connection->Close();
    this->connection =
        std::make_shared<HttpClientConnection>(this->context, this->faults);
  }

  const auto call =
      std::make_shared<HttpCall>(this->connection, limits, std::move(handler));
  std::string text = RequestText(method, target, this->address, {}, body);
  if (open) {
    call->Start(std::move(text));
  } else {
    call->StartNew(this->address, std::move(text));
  }
}

PlatformClient::PlatformClient(const pb::PlatformSettings& settings,
                               asio::io_context& io_context,
                               Ring<ToLog>& from_control,
                               Ring<FromLog>& to_control,
                               DaemonMetrics& daemon_metrics)
    : records_target("/v1/streams/" + settings.stream() + "/records"),
      sender(to_control, io_context),
      metrics(daemon_metrics),
      read_timer(io_context),
      vms_timer(io_context),
      reader(settings.log(), io_context, daemon_metrics),
      appender(settings.log(), io_context, daemon_metrics),
      vm_list(VmListAddress(settings), io_context, daemon_metrics) {
  const auto timeout = std::chrono::milliseconds(settings.timeout_ms());
  this->limits = {.connect_timeout = timeout,
                  .head_timeout = timeout,
                  .idle_timeout = timeout};
  this->wait_ms = std::min<uint64_t>(settings.timeout_ms() / 2, kMaxWaitMs);
  from_control.SetHandler([this](const ToLog& order) { this->OnOrder(order); });
}

void PlatformClient::OnOrder(const ToLog& order) {
  if (const auto* append = std::get_if<AppendOrder>(&order)) {
    return this->Append(append->batch);
  }

  const uint64_t from = std::get<ReadOrder>(order).from;
  if (!this->last_read_failed) return this->Read(from);
  this->read_timer.expires_after(kReadRetry);
  this->read_timer.async_wait([this, from](ErrorCode error) {
    if (!error) this->Read(from);
  });
}

void PlatformClient::Read(uint64_t from) {
  const std::string target = this->records_target +
                             "?from=" + std::to_string(from) +
                             "&max=" + std::to_string(kMaxRecords) +
                             "&wait_ms=" + std::to_string(this->wait_ms);
  this->reader.Call(
      "GET", target, {}, this->limits,
      [this, from](const HttpAnswer& answer) { this->OnRead(from, answer); });
}

void PlatformClient::OnRead(uint64_t from, const HttpAnswer& answer) {
  LogRead read;
  const int status = answer.whole ? answer.head.status : 0;
  if (status == 200 || status == 410) {
    read = ParseLogRead(answer.body).value_or(LogRead{});
  }
  // The offset asked for counts, not the one that the answer repeats.
  if (status == 200 && read.bounds && read.from != from) read = LogRead{};
  if (status == 410) read.batches.clear();
  read.from = from;
  this->last_read_failed = !read.bounds;
  this->metrics.Count("log_reads_total", "result",
                      read.bounds ? "answered" : "failed");
  this->sender.Send(std::move(read));
}

void PlatformClient::Append(const std::string& batch) {
  this->appender.Call("POST", this->records_target, batch, this->limits,
                      [this](const HttpAnswer& answer) {
                        const bool stored =
                            answer.whole && answer.head.status == 200;
                        this->metrics.Count("log_appends_total", "result",
                                            stored ? "answered" : "failed");
                        this->sender.Send(AppendAnswered{.stored = stored});
                      });
}

void PlatformClient::PollVms() {
  this->vm_list.Call("GET", "/v1/vms", {}, this->limits,
                     [this](const HttpAnswer& answer) { this->OnVms(answer); });
}

void PlatformClient::OnVms(const HttpAnswer& answer) {
  if (answer.whole && answer.head.status == 200) {
    if (auto vms = ParseVmList(answer.body)) {
      this->sender.Send(VmListRead{.vms = std::move(*vms)});
    }
  }
  this->vms_timer.expires_after(kVmsInterval);
  this->vms_timer.async_wait([this](ErrorCode error) {
    if (!error) this->PollVms();
  });
}

}  // namespace fuchsiadrum::daemon
