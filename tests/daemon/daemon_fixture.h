#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "daemon/daemon.h"
#include "daemon/http_message.h"
#include "settings/settings_reader.h"
#include "tests/daemon/fake_core.h"
#include "tests/daemon/raw_http.h"

namespace fuchsiadrum::daemon {

/// A whole daemon with a fake core and a scripted upstream.
class DaemonFixture : public ::testing::Test {
 protected:
  DaemonFixture() {
    this->settings.mutable_vm()->set_name("a1");
    pb::FrontSettings& front = *this->settings.mutable_front();
    front.set_listen("127.0.0.1:0");
    front.set_max_header_bytes(4096);
    front.set_max_body_bytes(65536);
    front.set_header_timeout_ms(5000);
    front.set_body_timeout_ms(5000);
    front.set_write_timeout_ms(5000);
    front.set_max_connections(16);
    front.set_max_key_bytes(255);
    front.set_stream_buffer_bytes(65536);
    front.set_default_deadline_ms(60000);
    this->settings.mutable_admin()->set_listen("127.0.0.1:0");
    this->settings.mutable_peer()->set_listen("127.0.0.1:0");
    this->settings.mutable_peer()->set_suspect_after_ms(3000);
    // Nothing listens on port 1.
    this->settings.mutable_platform()->set_log("127.0.0.1:1");
    this->settings.mutable_platform()->set_stream("test");
    this->settings.mutable_platform()->set_timeout_ms(1000);
    pb::UpstreamSettings& upstream = *this->settings.mutable_upstream();
    upstream.set_connect_timeout_ms(1000);
    upstream.set_idle_timeout_ms(5000);
    upstream.set_first_byte_timeout_ms(5000);
    upstream.set_load_poll_ms(60000);
    upstream.set_pool_size(4);
    this->settings.mutable_stop()->set_balancer_lag_ms(0);
    this->settings.mutable_stop()->set_drain_limit_ms(5000);
    this->owned_core = std::make_unique<FakeCore>();
    this->core = this->owned_core.get();
  }

  /// Starts the daemon with an upstream that runs the script.
  void Start(ScriptedServer::Script script) {
    this->upstream = std::make_unique<ScriptedServer>(
        [script = std::move(script)](const std::string& request,
                                     Tcp::socket& socket) {
          // Polls of the load come at any time.
          if (!request.starts_with("GET /v1/load")) {
            return script(request, socket);
          }
          return Put(socket, HttpResponse{.body = "{\"running\":5}"}.ToText());
        });
    this->core->address = this->upstream->Address();
    this->StartDaemon();
  }
  void StartDaemon() {
    this->daemon = std::make_unique<Daemon>(this->settings, VmRef{"a1", 1},
                                            std::move(this->owned_core));
    ASSERT_EQ(this->daemon->Start(), "");
  }
  void TearDown() override {
    // The core is still told about the upstream's connections.
    this->daemon.reset();
    this->upstream.reset();
  }

  uint16_t Port() const { return this->daemon->FrontAddress().port; }
  /// Sends one request on its own connection and reads until the close.
  std::string Exchange(const std::string& text) {
    RawClient client(this->Port());
    client.Write(text);
    return client.ReadAll();
  }
  static std::string ChatText(bool stream, const HttpHeaders& more = {}) {
    HttpHeaders headers = {{"Authorization", "Bearer key"},
                           {"Connection", "close"}};
    headers.insert(headers.end(), more.begin(), more.end());
    const std::string body =
        std::string(
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
            "\"content\":\"hello\"}],\"stream\":") +
        (stream ? "true}" : "false}");
    return RequestText("POST", "/v1/chat/completions", "test", headers, body);
  }
  static std::string Event(const std::string& data) {
    return Chunk("data: " + data + "\n\n");
  }
  static std::string TokenEvent(const std::string& word) {
    return Event(
        "{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":"
        "{\"content\":\"" +
        word + "\"}}]}");
  }
  static std::string StreamHead() {
    return ChunkedHead(200, {{"Content-Type", "text/event-stream"}}, true);
  }
  static std::string UsageEvent() {
    return Event(
        "{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{},"
        "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,"
        "\"completion_tokens\":2}}");
  }
  static std::string EndOfStream() { return Event("[DONE]") + LastChunk({}); }

  pb::DaemonSettings settings;
  std::unique_ptr<FakeCore> owned_core;
  FakeCore* core = nullptr;
  std::unique_ptr<ScriptedServer> upstream;
  std::unique_ptr<Daemon> daemon;
};

}  // namespace fuchsiadrum::daemon
