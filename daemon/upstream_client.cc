#include "daemon/upstream_client.h"

#include "daemon/chat_attempt.h"
#include "daemon/load_report.h"
#include "daemon/logging.h"
#include "daemon/service_attempt.h"

namespace fuchsiadrum::daemon {
namespace {

constexpr size_t kMaxLoadBytes = 1U << 20U;
constexpr int kOk = 200;
constexpr int kConflict = 409;
// A poll is sent once.
constexpr std::string_view kPollAttempt = "1";

}  // namespace

UpstreamClient::UpstreamClient(const pb::UpstreamSettings& settings,
                               const AnswerBounds& bounds,
                               asio::io_context& io_context,
                               Ring<ToUpstream>& from_control,
                               Ring<FromUpstream>& to_control,
                               DaemonMetrics& daemon_metrics)
    : answer_memory(std::make_shared<ByteBudget>(bounds.max_total_bytes)),
      context(io_context),
      orders(from_control),
      sender(to_control, io_context),
      pool(io_context, settings.pool_size(), daemon_metrics),
      poll_pool(io_context, 1, daemon_metrics) {
  this->limits = {
      .connect_timeout =
          std::chrono::milliseconds(settings.connect_timeout_ms()),
      .first_byte_timeout =
          std::chrono::milliseconds(settings.first_byte_timeout_ms()),
      .idle_timeout = std::chrono::milliseconds(settings.idle_timeout_ms()),
      .max_answer_bytes = bounds.max_bytes};
  this->poll_limits = {.connect_timeout = this->limits.connect_timeout,
                       .head_timeout = this->limits.idle_timeout,
                       .idle_timeout = this->limits.idle_timeout,
                       .max_body_bytes = kMaxLoadBytes};
  this->orders.SetHandler([this](ToUpstream& order) { this->OnOrder(order); });
  this->sender.SetOnClear([this] { this->orders.SetPaused(false); });
}

void UpstreamClient::OnOrder(ToUpstream& order) {
  if (auto* dispatch = std::get_if<DispatchOrder>(&order)) {
    this->Dispatch(std::move(*dispatch));
  } else if (const auto* cancel = std::get_if<CancelOrder>(&order)) {
    this->Cancel(*cancel);
  } else if (const auto* place =
                 std::get_if<upstream::PlacementOrder>(&order)) {
    this->Order(*place);
  } else {
    for (const auto& upstream : std::get<PollOrder>(order).upstreams) {
      this->Poll(upstream);
    }
  }
}

void UpstreamClient::Dispatch(DispatchOrder order) {
  const AttemptKey key(order.request->start.handle, order.action.attempt);
  const bool chat = order.request->chat;
  const auto on_event = [this](node::AttemptEvent event) {
    this->OnEvent(std::move(event));
  };

  // Nothing that a second attempt answers is the rest of a stream that has
  // begun; the core does not order it.
  if (order.request->pipe.HasDelivered()) {
    LogLine("error", "upstream: attempt " +
                         std::to_string(order.action.attempt) + " of request " +
                         order.request->start.request_id +
                         " is not sent, its stream has begun");
    node::AttemptEvent event;
    event.kind = node::AttemptEventKind::kNotSent;
    event.handle = key.first;
    event.attempt = key.second;
    event.delivered = true;
    return this->OnEvent(std::move(event));
  }

  std::shared_ptr<UpstreamAttempt> attempt;
  if (chat) {
    attempt = std::make_shared<ChatAttempt>(std::move(order), this->limits,
                                            this->answer_memory, this->pool,
                                            on_event);
  } else {
    attempt = std::make_shared<ServiceAttempt>(std::move(order), this->limits,
                                               this->answer_memory, this->pool,
                                               on_event);
  }
  this->attempts[key] = attempt;
  attempt->Start();
}

void UpstreamClient::Cancel(const CancelOrder& order) {
  const auto found = this->attempts.find({order.handle, order.attempt});
  if (found == this->attempts.end()) return;
  found->second->Cancel();
  this->attempts.erase(found);
}

void UpstreamClient::OnEvent(node::AttemptEvent event) {
  if (event.kind != node::AttemptEventKind::kFirstToken) {
    this->attempts.erase({event.handle, event.attempt});
  }
  this->Send(std::move(event));
}

void UpstreamClient::Send(FromUpstream item) {
  this->sender.Send(std::move(item));
  if (!this->sender.IsClear()) this->orders.SetPaused(true);
}

void UpstreamClient::Poll(const node::UpstreamAddress& upstream) {
  // One poll at a time; a slow one is as good as none.
  if (this->polls.contains(upstream.upstream)) return;

  auto connection = this->poll_pool.Take(upstream.address);
  const bool open = connection != nullptr;
  if (!open) connection = this->poll_pool.New();
  const std::string name = "load-" + std::to_string(++this->last_poll);
  const auto call = std::make_shared<HttpCall>(
      connection, this->poll_limits,
      [this, upstream, connection, name](const HttpAnswer& answer) {
        this->polls.erase(upstream.upstream);
        const auto origin = upstream::OriginOf(
            answer.head.ToAnswerHead(),
            {.request_id = name,
             .attempt = kPollAttempt,
             .is_first_on_connection = connection->Exchanges() == 1});
        if (answer.whole && upstream::MayKeepConnection(origin)) {
          this->poll_pool.Give(upstream.address, connection);
        } else {
          connection->Close();
        }
        this->OnLoad(upstream, answer, origin);
      });
  this->polls[upstream.upstream] = call;

  std::string text = RequestText(
      "GET", "/v1/load", upstream.address,
      {{"X-Request-Id", name}, {"X-Attempt", std::string(kPollAttempt)}}, {});
  if (open) {
    call->Start(std::move(text));
  } else {
    call->StartNew(upstream.address, std::move(text));
  }
}

void UpstreamClient::Order(const upstream::PlacementOrder& order) {
  if (this->placements.contains(order.upstream)) return;
  const std::string name = order.upstream;
  const auto call = std::make_shared<HttpCall>(
      this->poll_pool.New(), this->poll_limits,
      [this, name](const HttpAnswer& answer) {
        this->placements.erase(name);
        PlacementAnswered answered{.upstream = name};
        if (answer.whole && answer.head.status == kConflict) {
          answered.answer = upstream::OrderAnswer::kOldFencing;
        } else if (answer.whole && answer.head.status == kOk) {
          answered.answer = upstream::OrderAnswer::kAccepted;
        }
        this->Send(std::move(answered));
      });
  this->placements[name] = call;
  call->StartNew(order.address,
                 RequestText("POST", "/v1/orders", order.address,
                             {{"Content-Type", "application/json"}},
                             PlacementOrderJson(order)));
}

void UpstreamClient::OnLoad(const node::UpstreamAddress& upstream,
                            const HttpAnswer& answer,
                            upstream::AnswerOrigin origin) {
  node::UpstreamReport report;
  const bool is_ours = upstream::IsOfExchange(origin);
  if (answer.whole && !is_ours) {
    LogLine("warning", "upstream: load of " + upstream.upstream + " names " +
                           std::string(upstream::AnswerOriginName(origin)));
  }
  if (answer.whole && is_ours && answer.head.status == kOk) {
    report = ParseLoadReport(answer.body);
  }
  report.upstream = upstream.upstream;
  report.leaving = report.leaving || (is_ours && answer.head.leaving);
  this->Send(std::move(report));
}

}  // namespace fuchsiadrum::daemon
