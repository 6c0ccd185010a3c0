#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/platform/unframed_answer_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// Upstreams that answer a long upload before they have read it. One of the two
/// is sound and reads the upload first.
class EarlyAnswerTest : public UnframedAnswerFixture {
 protected:
  /// Answers and ends a request whose body was not read.
  using EarlyScript = std::function<void(ScriptedExchange& exchange)>;

  /// More than the buffers of a connection take.
  static constexpr size_t kUploadBytes = 3900000;
  static constexpr size_t kPartBytes = 20;
  static constexpr std::array<const char*, 4> kKinds = {"safe", "unsafe",
                                                        "resumable", "stream"};
  static constexpr std::array<int, 3> kPausesMs = {0, 5, 30};

  static std::string KindOf(ScriptedExchange& exchange) {
    const std::string target(exchange.Request().target());
    return target.substr(1, target.find('/', 1) - 1);
  }
  static std::string Whole(ScriptedExchange& exchange,
                           const std::string& framing = "") {
    return Head(exchange.Id(), framing) + WholeBody(KindOf(exchange));
  }
  /// The head and the beginning of the body; of a stream, its first event.
  static std::string Part(ScriptedExchange& exchange) {
    const std::string kind = KindOf(exchange);
    return Head(exchange.Id()) +
           (IsStream(kind) ? Event(1) : WholeBody(kind).substr(0, kPartBytes));
  }
  static void Sleep(int ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
  static void ShutdownSend(ScriptedExchange& exchange) {
    ::shutdown(exchange.Socket().native_handle(), SHUT_WR);
  }

  /// Starts two upstreams; `sound`: the second one reads the upload first, and
  /// is listed by ListSound.
  void StartEarly(const EarlyScript& early_script, bool sound = false) {
    this->retry_slack = 100000;
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string kind : kKinds) {
      routes.push_back(RouteOfKind(kind, kind, 3000));
    }
    this->PutRoutes(routes);
    const auto early = [this, early_script](ScriptedExchange& exchange) {
      ++this->early_answers;
      exchange.Run();
      early_script(exchange);
    };
    const auto on_accept = [this](ScriptedExchange& exchange) {
      if (this->has_small_buffers) {
        constexpr int kBytes = 8192;
        exchange.Socket().set_option(
            asio::socket_base::receive_buffer_size(kBytes));
      }
    };
    const auto late = [](ScriptedExchange& exchange) {
      if (!exchange.ReadBody()) return;
      exchange.Run();
      exchange.Write(Whole(exchange));
      exchange.Close();
    };
    this->servers.push_back(
        std::make_unique<ScriptedUpstream>(this->early_runs, early, on_accept));
    this->servers.push_back(
        sound ? std::make_unique<ScriptedUpstream>(this->early_runs, late)
              : std::make_unique<ScriptedUpstream>(this->early_runs, early,
                                                   on_accept));
    this->PutServer(0);
    if (!sound) this->PutServer(1);
    this->gateway = this->StartVm("vm-1");
  }
  void ListSound() { this->PutServer(1); }
  void TearDown() override {
    UnframedAnswerFixture::TearDown();
    this->servers.clear();
  }

  /// Sends an upload and reads the answer up to its end.
  CallerAnswer Upload(const std::string& kind, int minor_version = 1) {
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(
        {asio::ip::address_v4::loopback(), this->gateway->CallersPort()},
        error);
    const std::string head =
        "POST /" + kind + "/x HTTP/1." + std::to_string(minor_version) +
        "\r\nHost: choir.example\r\nAttempt-Id: " + kind +
        std::to_string(++this->uploads) +
        "\r\nContent-Length: " + std::to_string(kUploadBytes) + "\r\n\r\n";
    asio::write(socket, asio::buffer(head + std::string(kUploadBytes, 'x')),
                error);
    return ReadAnswer(socket);
  }
  /// Uploads `count` times and expects that no caller takes another body than
  /// the whole one for whole. Returns how many got the whole one.
  int CountWhole(const std::string& kind, int count, int minor_version = 1) {
    int whole = 0;
    const int before = this->early_answers;
    for (int i = 0; i < count; ++i) {
      const CallerAnswer answer = this->Upload(kind, minor_version);
      if (answer.status != 200 || answer.end == AnswerEnd::kBroken) continue;
      EXPECT_EQ(answer.body, WholeBody(kind)) << kind;
      ++whole;
    }
    EXPECT_GE(this->early_answers, before + count);
    return whole;
  }

  std::atomic<int> early_answers{0};
  /// The upload does not fit into the buffers of the connection. An upstream
  /// that reads it then does so slowly.
  bool has_small_buffers = true;

 private:
  void PutServer(size_t index) {
    constexpr int kSlots = 100;
    this->PutEntry("u" + std::to_string(index + 1),
                   this->servers[index]->Address(), kSlots);
  }

  RunRecord early_runs;
  int uploads = 0;
  std::vector<std::unique_ptr<ScriptedUpstream>> servers;
};

// MIXED: the reset is reported to the write of the request, and the read that
// follows finds an end in order.
TEST_F(EarlyAnswerTest, ResetDuringTheUpload_IsNoEndOfAnAnswer) {
  std::atomic<int> pause_ms{0};
  this->StartEarly([&pause_ms](ScriptedExchange& exchange) {
    exchange.Write(Part(exchange));
    Sleep(pause_ms);
    exchange.Reset();
  });
  for (const char* kind : kKinds) {
    for (const int ms : kPausesMs) {
      pause_ms = ms;
      this->CountWhole(kind, 4);
    }
  }
}

// MIXED: the same where the upstream closes the connection with bytes of the
// upload unread, which resets it.
TEST_F(EarlyAnswerTest, CloseBeforeTheUploadWasRead_IsNoEndOfAnAnswer) {
  std::atomic<int> pause_ms{0};
  this->StartEarly([&pause_ms](ScriptedExchange& exchange) {
    exchange.ReadSomeOfBody();
    exchange.Write(Part(exchange));
    Sleep(pause_ms);
    ErrorCode ignored;
    exchange.Socket().close(ignored);
  });
  for (const char* kind : kKinds) {
    for (const int ms : kPausesMs) {
      pause_ms = ms;
      this->CountWhole(kind, 4);
    }
  }
}

// MIXED: an end in order before a reset proves nothing as long as the upload
// was not taken.
TEST_F(EarlyAnswerTest, ResetAfterTheEnd_IsNoEndOfAnAnswer) {
  this->StartEarly([](ScriptedExchange& exchange) {
    exchange.Write(Part(exchange));
    ShutdownSend(exchange);
    Sleep(20);
    exchange.Reset();
  });
  for (const char* kind : kKinds) this->CountWhole(kind, 4);
}

// MIXED: also for a caller of HTTP/1.0, to whom only the connection ends an
// answer.
TEST_F(EarlyAnswerTest, ResetDuringTheUpload_IsSeenByCallersOfHttp10) {
  this->StartEarly([](ScriptedExchange& exchange) {
    exchange.Write(Part(exchange));
    Sleep(5);
    exchange.Reset();
  });
  for (const char* kind : kKinds) this->CountWhole(kind, 4, 0);
}

// Sound answers stay served: the upstream answers early and whole, ends its
// side of the connection and reads the rest.
TEST_F(EarlyAnswerTest, WholeAnswerWhoseUploadIsReadLater_IsServed) {
  this->has_small_buffers = false;
  this->StartEarly([](ScriptedExchange& exchange) {
    exchange.Write(Whole(exchange));
    ShutdownSend(exchange);
    Sleep(10);
    exchange.ReadBody();
    exchange.Close();
  });
  for (const char* kind : kKinds) EXPECT_EQ(this->CountWhole(kind, 4), 4);
}

// Sound answers stay served: the framing alone tells that they are whole.
TEST_F(EarlyAnswerTest, FramedAnswerBeforeAReset_IsServed) {
  this->StartEarly([](ScriptedExchange& exchange) {
    const size_t size = WholeBody(KindOf(exchange)).size();
    // A connection that is kept could carry the next request.
    exchange.Write(Whole(exchange, "Connection: close\r\nContent-Length: " +
                                       std::to_string(size) + "\r\n"));
    Sleep(20);
    exchange.Reset();
  });
  for (const char* kind : kKinds) EXPECT_EQ(this->CountWhole(kind, 4), 4);
}

// The request goes to another upstream where its route allows it, and only
// there.
TEST_F(EarlyAnswerTest, ResetDuringTheUpload_IsRepeatedOnlyWhereAllowed) {
  this->StartEarly(
      [this](ScriptedExchange& exchange) {
        this->ListSound();
        exchange.Write(Head(exchange.Id()));
        // The gateway reads the entry meanwhile.
        Sleep(300);
        exchange.Reset();
      },
      true);
  EXPECT_EQ(this->Upload("unsafe").status, 502U);
  EXPECT_EQ(this->Upload("safe").body, WholeBody("safe"));
  EXPECT_GE(this->early_answers, 1);
}

}  // namespace
}  // namespace fuchsiadrum::gateway
