#include "gateway/gateway.h"

#include <algorithm>
#include <csignal>
#include <memory>

#include "fuchsiadrum/core/duration.h"
#include "gateway/acceptor.h"
#include "gateway/caller_connection.h"
#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Interval of OnTick, and with it the resolution of all timeouts. Each tick
/// wakes the processor.
constexpr Duration kTickInterval = std::chrono::milliseconds(25);
/// Interval at which a stopping gateway checks whether all requests have ended.
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);
/// Maximum wait for the last write to the store.
constexpr Duration kFlushTimeout = std::chrono::milliseconds(600);

asio::awaitable<void> Sleep(Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor,
                           std::chrono::microseconds(time));
  ErrorCode ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace

Gateway::Gateway(const pb::GatewaySettings& gateway_settings)
    : settings(gateway_settings),
      core(gateway_settings, this->context),
      acceptor(this->context),
      readiness(this->context, this->core,
                [this](std::string_view) {
                  return PageServer::Page{this->core.IsReady() ? 200 : 503, ""};
                }),
      metrics(this->context, this->core, [this](std::string_view) {
        return PageServer::Page{200, this->core.MetricsText()};
      }) {}

std::string Gateway::Open() {
  std::string reason =
      OpenAcceptor(this->acceptor, this->settings.listen().callers());
  if (reason.empty()) {
    reason = this->readiness.Open(this->settings.listen().readiness());
  }
  if (reason.empty()) {
    reason = this->metrics.Open(this->settings.listen().metrics());
  }
  return reason;
}

void Gateway::Run() {
  this->core.Log().Write("start",
                         {{"zone", this->settings.vm().availability_zone()},
                          {"callers", this->settings.listen().callers()},
                          {"store", this->settings.store().address()}});
  this->core.Start();
  asio::co_spawn(
      this->context,
      AcceptAll(
          this->acceptor,
          [this](Tcp::socket socket) { this->Serve(std::move(socket)); },
          [this] { this->core.CallerGate().OnAcceptFailure(Now()); }),
      asio::detached);
  asio::co_spawn(this->context, this->TickLoop(), asio::detached);
  asio::co_spawn(this->context, this->WaitForSignals(), asio::detached);
  this->context.run();
  this->core.Log().Write("stop", {});
  this->core.Log().Flush();
}

void Gateway::Serve(Tcp::socket socket) {
  if (!this->core.CallerGate().MakeRoom(Now())) {
    RefuseConnection(std::move(socket));
    return;
  }
  auto caller =
      std::make_shared<CallerConnection>(std::move(socket), this->core);
  this->core.Timeouts().Watch(*caller);
  asio::co_spawn(
      this->context,
      [caller]() -> asio::awaitable<void> { co_await caller->Run(); },
      asio::detached);
}

asio::awaitable<void> Gateway::TickLoop() {
  while (true) {
    co_await Sleep(kTickInterval);
    this->core.OnTick(Now());
  }
}

asio::awaitable<void> Gateway::WaitForSignals() {
  asio::signal_set signals(this->context, SIGTERM, SIGINT, SIGHUP);
  while (true) {
    ErrorCode error;
    const int signal = co_await signals.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    // The loop goes on while the gateway is stopping: without a handler, a
    // further signal would kill the process and cut its requests.
    if (signal == SIGHUP) {
      // The settings are fixed for the life of the process, and the
      // configuration comes from the store.
      this->core.Log().Write("reload", {{"changed", false}});
    } else if (!this->core.IsStopping()) {
      asio::co_spawn(this->context, this->Stop(), asio::detached);
    }
  }
}

asio::awaitable<void> Gateway::Stop() {
  this->core.BeginStop();
  const serving::StopSchedule& schedule = this->core.Schedule();

  // The gateway still serves the callers that the balancer sends, so it keeps
  // its granted tokens until then.
  while (Now() < schedule.AcceptEnd()) {
    co_await Sleep(kStopPollInterval);
  }
  this->core.Budgets().Close();
  this->CloseAcceptor();

  while (!this->core.Callers().empty() && Now() < schedule.AnswerEnd()) {
    this->CloseIdleCallers();
    co_await Sleep(kStopPollInterval);
  }
  this->core.EndOpenRequests();
  while (!this->core.Callers().empty() && Now() < schedule.End()) {
    this->CloseIdleCallers();
    co_await Sleep(kTickInterval);
  }

  const TimePoint flush_end = std::min(Now() + kFlushTimeout, schedule.End());
  while (!this->core.Budgets().IsFlushed() && Now() < flush_end) {
    co_await Sleep(kTickInterval);
  }
  this->context.stop();
}

void Gateway::CloseAcceptor() {
  // Connections that wait in the queue would be reset. They are accepted, so
  // that their requests are answered.
  ErrorCode error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket = this->acceptor.accept(error);
    if (!error) this->Serve(std::move(socket));
  }
  ErrorCode ignored;
  this->acceptor.close(ignored);
}

void Gateway::CloseIdleCallers() {
  const TimePoint now = Now();
  for (CallerConnection* caller : this->core.Callers()) caller->CloseIdle(now);
}

}  // namespace fuchsiadrum::gateway
