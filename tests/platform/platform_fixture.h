#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gateway/asio.h"
#include "gateway/gateway.h"
#include "tests/platform/fake_store.h"
#include "tests/platform/loopback_server.h"

namespace fuchsiadrum::gateway {

/// Runs one gateway with a fake store and fake upstreams.
class PlatformFixture : public testing::Test {
 protected:
  static constexpr char kTopicOperators[] = "keyed.op";
  static constexpr char kTopicUpstreams[] = "keyed.servers";

  /// Writes a configuration with one streaming and one unsafe route.
  void PutConfig(int version, int64_t prepaid) {
    const nlohmann::json config = {
        {"version", version},
        {"routes",
         {{{"name", "draft"},
           {"host", "choir.example"},
           {"path_prefix", "/draft/"},
           {"kind", "streaming"},
           {"timeout_ms", 3000},
           {"service", "engine"},
           {"max_attempts", 2},
           {"affinity", true},
           {"resumable", true}},
          {{"name", "book"},
           {"host", "choir.example"},
           {"path_prefix", "/book/"},
           {"kind", "unsafe"},
           {"timeout_ms", 1000},
           {"service", "engine"},
           {"max_attempts", 1}}}},
        {"services",
         {{{"name", "engine"},
           {"max_connections", 100},
           {"engine", {{"slots", 8}, {"stride", 5}}}}}},
        {"limits", nlohmann::json::object()},
        {"tenants",
         {{{"name", "parish"}, {"api_keys", {"k1"}}, {"prepaid", prepaid}}}}};
    this->store.Put(kTopicOperators, "config", config.dump());
  }

  /// Writes a configuration with these routes to one service, without
  /// organisations.
  void PutRoutes(const nlohmann::json& routes) {
    const nlohmann::json config = {
        {"version", 1},
        {"routes", routes},
        {"services", {{{"name", "engine"}, {"max_connections", 1000}}}},
        {"limits", nlohmann::json::object()}};
    this->store.Put(kTopicOperators, "config", config.dump());
  }
  /// The route of the paths below its name. `kind`: "safe", "unsafe",
  /// "resumable", or "stream" for a stream that may not be resumed.
  static nlohmann::json RouteOfKind(const std::string& name,
                                    const std::string& kind, int timeout_ms,
                                    int max_attempts = 2) {
    const bool is_stream = kind == "resumable" || kind == "stream";
    return {{"name", name},
            {"host", "choir.example"},
            {"path_prefix", "/" + name + "/"},
            {"kind", is_stream ? "streaming" : kind},
            {"timeout_ms", timeout_ms},
            {"service", "engine"},
            {"max_attempts", max_attempts},
            {"resumable", kind == "resumable"}};
  }

  void PutUpstream(const std::string& id, const LoopbackServer& upstream,
                   const std::string& state = "ready") {
    this->PutEntry(id, upstream.Address(), 8, state);
  }
  void PutEntry(const std::string& id, const std::string& address, int slots,
                const std::string& state = "ready") {
    const nlohmann::json entry = {{"service", "engine"},   {"address", address},
                                  {"zone", "a"},           {"slots", slots},
                                  {"born", 1700000000000}, {"state", state},
                                  {"cold_left_ms", 0},     {"sequence", 4}};
    this->store.Put(kTopicUpstreams, id, entry.dump());
  }

  /// Starts a gateway and waits until it is ready. `link_mbps`: rate of the
  /// VM's link; 0: unknown.
  void StartGateway(double link_mbps = 0) {
    this->gateway = this->StartVm("vm-1", link_mbps);
  }

  /// Starts the gateway of a further VM with the same store.
  Gateway* StartVm(const std::string& name, double link_mbps = 0) {
    // Never destroyed, as in the gateway's main program.
    auto* started = new Gateway(this->MakeSettings(name, link_mbps));
    EXPECT_EQ(started->Open(), "");
    this->vms.push_back(started);
    this->runners.emplace_back([started] { started->Run(); });
    this->WaitReady(started->ReadinessPort());
    return started;
  }

  /// Stops the gateway of a VM at once, as a kill would.
  void StopVm(Gateway* stopped) {
    const auto found = std::ranges::find(this->vms, stopped);
    stopped->Halt();
    this->runners[static_cast<size_t>(found - this->vms.begin())].join();
    this->runners.erase(this->runners.begin() + (found - this->vms.begin()));
    this->vms.erase(found);
  }

  const std::vector<Gateway*>& Vms() const { return this->vms; }

  pb::GatewaySettings MakeSettings(const std::string& name,
                                   double link_mbps) const {
    pb::GatewaySettings settings;
    settings.mutable_vm()->set_name(name);
    settings.mutable_vm()->set_availability_zone("a");
    settings.mutable_vm()->set_link_mbps(link_mbps);
    settings.mutable_vm()->set_memory_mb(this->memory_mb);
    settings.mutable_listen()->set_callers("127.0.0.1:0");
    settings.mutable_listen()->set_readiness("127.0.0.1:0");
    settings.mutable_listen()->set_metrics("127.0.0.1:0");
    settings.mutable_store()->set_address(this->store.Address());
    settings.mutable_store()->set_timeout_ms(this->store_timeout_ms);
    settings.mutable_store()->set_parts(12);
    settings.mutable_store()->set_writes_per_s(800);
    settings.mutable_stop()->set_grace_s(8);
    settings.mutable_bounds()->set_drain_ms(2000);
    settings.mutable_bounds()->set_retry_ratio(0.2);
    settings.mutable_bounds()->set_retry_slack(this->retry_slack);
    settings.mutable_bounds()->set_retry_window_s(10);
    return settings;
  }

  void TearDown() override {
    while (!this->vms.empty()) this->StopVm(this->vms.back());
  }

  /// Polls the readiness page until it answers with status 200.
  void WaitReady(uint16_t readiness_port) {
    for (int i = 0; i < 200; ++i) {
      if (this->IsReady(readiness_port)) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    FAIL() << "not ready in 4 s";
  }
  bool IsReady(uint16_t readiness_port) {
    return this->Get(readiness_port, "/ready").result_int() == 200;
  }
  HttpAnswer Get(uint16_t port, const std::string& target) {
    return this->Call(port, HttpRequest(http::verb::get, target, 11));
  }

  static HttpRequest Request(const std::string& target,
                             const std::string& tokens = "") {
    HttpRequest request(http::verb::post, target, 11);
    request.set("Host", "choir.example");
    request.set("Attempt-Id", "a1");
    request.set("Deadline-Ms", "2000");
    request.set("Key", "k1");
    if (!tokens.empty()) request.set("Token-Counts", tokens);
    request.body() = "hello";
    request.prepare_payload();
    return request;
  }

  HttpAnswer Call(const HttpRequest& request) {
    return this->Call(this->gateway->CallersPort(), request);
  }
  /// Returns status 0 if the connection ended before the whole answer arrived.
  HttpAnswer Call(uint16_t port, const HttpRequest& request) {
    asio::io_context context;
    ErrorCode error;
    Tcp::socket socket = Send(context, port, request, error);
    boost::beast::flat_buffer buffer;
    HttpAnswer answer;
    http::read(socket, buffer, answer, error);
    if (error) answer.result(0U);
    return answer;
  }

  /// Sends the request and closes the connection without waiting for the
  /// answer.
  void CallAndDisconnect(const HttpRequest& request) {
    asio::io_context context;
    ErrorCode error;
    Send(context, this->gateway->CallersPort(), request, error);
  }

  /// Sends a request on a new connection, which is returned.
  static Tcp::socket Send(asio::io_context& context, uint16_t port,
                          const HttpRequest& request, ErrorCode& error) {
    Tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port}, error);
    http::write(socket, request, error);
    return socket;
  }

  static HttpAnswer Signed(const HttpRequest& request) {
    HttpAnswer answer(http::status::ok, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    answer.set("Runner-Signature", "s1");
    return answer;
  }
  static std::string Event(int id) {
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
  }
  static std::string Chunk(const std::string& bytes) {
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
  }
  /// Handler of an upstream that answers every request with one event.
  static std::optional<HttpAnswer> AnswerOneEvent(const HttpRequest& request,
                                                  Tcp::socket& /*socket*/) {
    HttpAnswer answer = Signed(request);
    answer.body() = Event(1);
    return answer;
  }

  FakeStore store;
  /// Memory of the VM in megabytes; 0: unknown.
  uint32_t memory_mb = 0;
  /// Time after which a call to the store counts as lost, in milliseconds.
  uint32_t store_timeout_ms = 600;
  /// Retries that are allowed in addition to the ratio.
  double retry_slack = 1000;
  Gateway* gateway = nullptr;

 private:
  std::vector<Gateway*> vms;
  /// Threads of `vms`, in the same order.
  std::vector<std::thread> runners;
};

}  // namespace fuchsiadrum::gateway
