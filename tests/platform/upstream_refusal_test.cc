#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tests/platform/platform_fixture.h"

namespace fuchsiadrum::gateway {
namespace {

/// An answer which states that the request with this id did not run.
HttpAnswer Refusal(const std::string& id, unsigned int status = 503) {
  HttpAnswer answer(http::int_to_status(status), 11);
  if (!id.empty()) answer.set("Attempt-Id", id);
  answer.set("Not-Executed", "1");
  return answer;
}

/// Upstream that can write answers which nobody has asked for, and that records
/// which requests it has run and how many connections it has accepted.
class FaultyUpstream {
 public:
  /// Called for each request. Returns the answer; what it writes to the socket
  /// itself arrives before that.
  using Script = std::function<std::optional<HttpAnswer>(const HttpRequest&,
                                                         Tcp::socket&)>;

  explicit FaultyUpstream(Script request_script)
      : script(std::move(request_script)),
        server([this](const HttpRequest& request, Tcp::socket& socket) {
          {
            const std::lock_guard lock(this->mutex);
            this->sockets.insert(&socket);
            ++this->arrivals;
          }
          return this->script(request, socket);
        }) {}

  const LoopbackServer& Server() const { return this->server; }
  size_t Connections() {
    const std::lock_guard lock(this->mutex);
    return this->sockets.size();
  }
  int Arrivals() {
    const std::lock_guard lock(this->mutex);
    return this->arrivals;
  }

 private:
  Script script;
  std::mutex mutex;
  std::set<const Tcp::socket*> sockets;
  int arrivals = 0;
  LoopbackServer server;
};

/// A gateway before upstreams whose refusals do not always belong to the
/// request that waits for an answer.
class UpstreamRefusalTest : public PlatformFixture {
 protected:
  static void Write(Tcp::socket& socket, HttpAnswer answer) {
    ErrorCode ignored;
    answer.prepare_payload();
    http::write(socket, answer, ignored);
  }

  /// Runs the request and returns a signed answer.
  HttpAnswer Run(const HttpRequest& request) {
    ++this->runs;
    HttpAnswer answer = Signed(request);
    answer.body() = "booked";
    return answer;
  }

  void Start(const std::vector<FaultyUpstream*>& upstreams) {
    this->PutConfig(1, 100000);
    for (size_t i = 0; i < upstreams.size(); ++i) {
      this->PutUpstream("u" + std::to_string(i + 1), upstreams[i]->Server());
    }
    this->StartGateway();
  }

  static HttpRequest Booking(const std::string& id) {
    HttpRequest request = Request("/book/robes");
    request.set("Attempt-Id", id);
    return request;
  }
  HttpAnswer Book(const std::string& id) { return this->Call(Booking(id)); }

  /// Script of an upstream that refuses the booking "r1", writes `stray` before
  /// each later answer and runs every other request.
  FaultyUpstream::Script RefuseThenWrite(HttpAnswer stray) {
    return [this, stray = std::move(stray)](const HttpRequest& request,
                                            Tcp::socket& socket) {
      if (request["Attempt-Id"] == "r1") return std::optional(Refusal("r1"));
      Write(socket, stray);
      return std::optional(this->Run(request));
    };
  }

  /// Expects that a booking is served and runs once if its upstream writes
  /// `stray` before the answer, on a connection that has carried a refusal.
  void ExpectServedOnceAfter(HttpAnswer stray) {
    FaultyUpstream upstream(this->RefuseThenWrite(std::move(stray)));
    this->Start({&upstream});

    EXPECT_EQ(this->Book("r1").result_int(), 503U);
    EXPECT_EQ(this->Book("r2").result_int(), 200U);
    EXPECT_EQ(this->runs, 1);
  }

  std::atomic<int> runs{0};
};

// REFUSED: a refusal that an upstream writes once more on a kept connection is
// no refusal of the request that waits there.
TEST_F(UpstreamRefusalTest, EarlierRefusal_WrittenAgain_DoesNotRefuseTheNext) {
  FaultyUpstream upstream(this->RefuseThenWrite(Refusal("r1")));
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  const HttpAnswer answer = this->Book("r2");
  EXPECT_EQ(answer.result_int(), 200U);
  EXPECT_EQ(answer.body(), "booked");
  EXPECT_EQ(this->runs, 1);
  EXPECT_EQ(upstream.Connections(), 1U);
}

// TWICE: the same with a second upstream, to which the request must not be sent
// because it may have run at the first.
TEST_F(UpstreamRefusalTest, EarlierRefusal_WrittenAgain_CausesNoSecondRun) {
  FaultyUpstream first(this->RefuseThenWrite(Refusal("r1")));
  FaultyUpstream second(this->RefuseThenWrite(Refusal("r1")));
  this->Start({&first, &second});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  EXPECT_EQ(this->Book("r2").result_int(), 200U);
  EXPECT_EQ(this->runs, 1);
}

// After the repeated refusal the connection breaks off: the request may have
// run.
TEST_F(UpstreamRefusalTest, EarlierRefusal_ThenClose_PromisesNothing) {
  const auto script = [this](const HttpRequest& request, Tcp::socket& socket) {
    if (request["Attempt-Id"] == "r1") return std::optional(Refusal("r1"));
    Write(socket, Refusal("r1"));
    ++this->runs;
    return std::optional<HttpAnswer>();
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  EXPECT_EQ(this->Book("r2").result_int(), 502U);
  EXPECT_EQ(this->runs, 1);
}

TEST_F(UpstreamRefusalTest, RefusalWithoutId_OnKeptConnection_PromisesNothing) {
  this->ExpectServedOnceAfter(Refusal(""));
}

TEST_F(UpstreamRefusalTest, MisdirectedAnswerToAnother_PromisesNothing) {
  HttpAnswer misdirected(http::status::misdirected_request, 11);
  misdirected.set("Attempt-Id", "r1");
  this->ExpectServedOnceAfter(misdirected);
}

// A caller that repeats an id: a refusal with that id may be the earlier one.
TEST_F(UpstreamRefusalTest, RepeatedId_IsSentOnAnotherConnection) {
  std::atomic<int> bookings{0};
  FaultyUpstream upstream([&](const HttpRequest& request, Tcp::socket& socket) {
    if (++bookings == 1) return std::optional(Refusal("r1"));
    // Only the connection that carried the refusal repeats it.
    if (upstream.Connections() == 1) Write(socket, Refusal("r1"));
    return std::optional(this->Run(request));
  });
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  EXPECT_EQ(this->Book("r1").result_int(), 200U);
  EXPECT_EQ(this->runs, 1);
  EXPECT_EQ(upstream.Connections(), 2U);
}

// REFUSED: the upstream ran the request and answered with a status that
// promises the opposite.
TEST_F(UpstreamRefusalTest,
       SignedFailure_WithStatusThatPromises_IsNotPassedOn) {
  for (const unsigned int status : {503U, 429U, 408U}) {
    FaultyUpstream upstream([&](const HttpRequest& request, Tcp::socket&) {
      HttpAnswer answer = this->Run(request);
      answer.result(status);
      return std::optional(answer);
    });
    this->Start({&upstream});
    const HttpAnswer answer = this->Book("r1");
    EXPECT_EQ(answer.result_int(), 502U) << status;
    EXPECT_EQ(answer.count("Runner-Signature"), 0U);
    this->TearDown();
  }
}

// A signature proves that the request ran, so the answer contradicts itself.
TEST_F(UpstreamRefusalTest, SignedRefusal_PromisesNothing) {
  const auto script = [this](const HttpRequest& request, Tcp::socket&) {
    HttpAnswer answer = this->Run(request);
    answer.result(503);
    answer.set("Not-Executed", "1");
    return std::optional(answer);
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  EXPECT_EQ(this->Book("r1").result_int(), 502U);
  EXPECT_EQ(this->runs, 1);
}

TEST_F(UpstreamRefusalTest, SuccessWithNotExecuted_PromisesNothing) {
  const auto script = [this](const HttpRequest& request, Tcp::socket&) {
    HttpAnswer answer = this->Run(request);
    answer.set("Not-Executed", "1");
    return std::optional(answer);
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  EXPECT_NE(this->Book("r1").result_int(), 503U);
  EXPECT_EQ(this->runs, 1);
}

// An upstream closes a kept connection while the request is on its way: the
// request may have run.
TEST_F(UpstreamRefusalTest, KeptConnection_ClosedAfterRequest_PromisesNothing) {
  const auto script = [this](const HttpRequest& request, Tcp::socket&) {
    if (request["Attempt-Id"] == "r1") return std::optional(this->Run(request));
    ++this->runs;
    return std::optional<HttpAnswer>();
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  EXPECT_EQ(this->Book("r1").result_int(), 200U);
  EXPECT_EQ(this->Book("r2").result_int(), 502U);
  EXPECT_EQ(this->Book("r3").result_int(), 502U);
  EXPECT_EQ(this->runs, 3);
}

// What truly was refused still gets a second upstream or its 503, and the
// connections stay in use.
TEST_F(UpstreamRefusalTest, RefusalOfThisRequest_IsRepeatedElsewhere) {
  std::mutex mutex;
  std::set<std::string> refused;
  // Whichever upstream gets a booking first refuses it.
  const auto script = [&](const HttpRequest& request, Tcp::socket&) {
    const std::string id(request["Attempt-Id"]);
    const std::lock_guard lock(mutex);
    const bool is_first = refused.insert(id).second;
    return std::optional(is_first ? Refusal(id) : this->Run(request));
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  for (int i = 1; i <= 8; ++i) {
    EXPECT_EQ(this->Book("r" + std::to_string(i)).result_int(), 200U) << i;
  }
  EXPECT_EQ(this->runs, 8);
  EXPECT_EQ(first.Arrivals(), 8);
  EXPECT_EQ(second.Arrivals(), 8);
  EXPECT_EQ(first.Connections(), 1U);
  EXPECT_EQ(second.Connections(), 1U);
}

TEST_F(UpstreamRefusalTest, RefusalOfThisRequest_WithoutAnotherUpstream_Is503) {
  FaultyUpstream upstream([](const HttpRequest& request, Tcp::socket&) {
    return std::optional(Refusal(std::string(request["Attempt-Id"])));
  });
  this->Start({&upstream});

  for (int i = 1; i <= 3; ++i) {
    const HttpAnswer answer = this->Book("r" + std::to_string(i));
    EXPECT_EQ(answer.result_int(), 503U) << i;
    EXPECT_FALSE(answer["Retry-After"].empty()) << i;
  }
  EXPECT_EQ(upstream.Arrivals(), 3);
  EXPECT_EQ(upstream.Connections(), 1U);
}

// A notice in an answer to another request may be long out of date; obeyed, it
// would take the upstream out of use.
TEST_F(UpstreamRefusalTest, NoticesOfAnEarlierAnswer_AreNotObeyed) {
  HttpAnswer stray = Refusal("r0");
  stray.set("Retry-After", "30");
  stray.set("Server-Leaving", "1");
  stray.set("Server-Limit", "0.01");
  FaultyUpstream upstream(this->RefuseThenWrite(stray));
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  for (int i = 2; i <= 4; ++i) {
    EXPECT_EQ(this->Book("r" + std::to_string(i)).result_int(), 200U) << i;
  }
  EXPECT_EQ(this->runs, 3);
}

// An answer 421 comes from another upstream at the address of the one that was
// asked: its notices are about itself.
TEST_F(UpstreamRefusalTest, NoticesOfAMisdirectedAnswer_AreNotObeyed) {
  FaultyUpstream other([](const HttpRequest& request, Tcp::socket&) {
    HttpAnswer answer(http::status::misdirected_request, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    answer.set("Server-Leaving", "1");
    return std::optional(answer);
  });
  FaultyUpstream moved([this](const HttpRequest& request, Tcp::socket&) {
    return std::optional(this->Run(request));
  });
  this->Start({&other});
  EXPECT_EQ(this->Book("r1").result_int(), 503U);

  // The upstream writes its entry again, now with its own address.
  this->PutUpstream("u1", moved.Server());
  unsigned int status = 0;
  for (int i = 2; i < 200 && status != 200; ++i) {
    status = this->Book("r" + std::to_string(i)).result_int();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(status, 200U);
}

// REFUSED: an answer to another request has shown that this connection carries
// answers that belong elsewhere, so a refusal without an id proves nothing.
TEST_F(UpstreamRefusalTest,
       RefusalWithoutId_AfterAnotherRequestsAnswer_PromisesNothing) {
  FaultyUpstream upstream(
      [this](const HttpRequest& request, Tcp::socket& socket) {
        Write(socket, Refusal("r0"));
        Write(socket, Refusal(""));
        return std::optional(this->Run(request));
      });
  this->Start({&upstream});

  EXPECT_NE(this->Book("r1").result_int(), 503U);
  EXPECT_EQ(this->runs, 1);
}

// REFUSED: an answer that names two requests contradicts itself.
TEST_F(UpstreamRefusalTest, RefusalWithTwoIds_PromisesNothing) {
  HttpAnswer stray = Refusal("r2");
  stray.insert("Attempt-Id", "r1");
  FaultyUpstream upstream(this->RefuseThenWrite(stray));
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
  EXPECT_NE(this->Book("r2").result_int(), 503U);
  EXPECT_EQ(this->runs, 1);
}

// An interim answer is not the end of the exchange: the caller must not get it
// as its answer.
TEST_F(UpstreamRefusalTest, InterimAnswer_IsFollowedByTheAnswer) {
  FaultyUpstream upstream([this](const HttpRequest& request,
                                 Tcp::socket& socket) {
    ErrorCode ignored;
    asio::write(socket,
                asio::buffer(
                    std::string("HTTP/1.1 103 Early Hints\r\nAttempt-Id: r1\r\n"
                                "Runner-Signature: s1\r\n\r\n")),
                ignored);
    return std::optional(this->Run(request));
  });
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 200U);
  EXPECT_EQ(this->runs, 1);
}

// A refusal is marked by the presence of the field, whatever its value.
TEST_F(UpstreamRefusalTest, RefusalWithEmptyMark_Is503) {
  FaultyUpstream upstream([](const HttpRequest& request, Tcp::socket&) {
    HttpAnswer answer = Refusal(std::string(request["Attempt-Id"]));
    answer.set("Not-Executed", "");
    return std::optional(answer);
  });
  this->Start({&upstream});

  EXPECT_EQ(this->Book("r1").result_int(), 503U);
}

// A late answer 421 is about the entry with which the request was sent, not
// about the one that has replaced it since.
TEST_F(UpstreamRefusalTest, MisdirectedAnswer_LeavesTheNewEntryInUse) {
  FaultyUpstream other([](const HttpRequest& request, Tcp::socket&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    HttpAnswer answer(http::status::misdirected_request, 11);
    answer.set("Attempt-Id", request["Attempt-Id"]);
    return std::optional(answer);
  });
  FaultyUpstream moved([this](const HttpRequest& request, Tcp::socket&) {
    return std::optional(this->Run(request));
  });
  this->Start({&other});
  std::thread booking([this] { this->Book("r1"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->PutUpstream("u1", moved.Server());
  booking.join();

  EXPECT_EQ(this->Book("r2").result_int(), 200U);
}

// An answer to another request whose end only a close can tell takes in all
// that follows: waiting for the answer is in vain, and a request that may be
// repeated is repeated at once.
TEST_F(UpstreamRefusalTest, AnswerToAnotherWithoutLength_DoesNotHoldTheCaller) {
  const auto script = [this](const HttpRequest& request, Tcp::socket& socket) {
    ErrorCode ignored;
    if (++this->runs == 1) {
      asio::write(socket,
                  asio::buffer(std::string("HTTP/1.1 503 Full\r\n"
                                           "Attempt-Id: r0\r\n"
                                           "Not-Executed: 1\r\n\r\n")),
                  ignored);
    }
    HttpAnswer answer = Signed(request);
    answer.body() = Event(1);
    return std::optional(answer);
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});

  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(this->Call(Request("/draft/x", "100,50")).result_int(), 200U);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));
}

// A refusal on a kept connection that names no request is not proven, but a
// request that may be repeated need not wait for an answer that never comes.
TEST_F(UpstreamRefusalTest, RefusalWithoutId_OnKeptConnection_HoldsNoStream) {
  std::atomic<bool> refusing{false};
  const auto script = [&refusing](const HttpRequest& request, Tcp::socket&) {
    if (refusing.exchange(false)) return std::optional(Refusal(""));
    HttpAnswer answer = Signed(request);
    answer.body() = Event(1);
    return std::optional(answer);
  };
  FaultyUpstream first(script);
  FaultyUpstream second(script);
  this->Start({&first, &second});
  for (int i = 1; i <= 8; ++i) {
    HttpRequest request = Request("/draft/x", "100,50");
    request.set("Attempt-Id", "r" + std::to_string(i));
    ASSERT_EQ(this->Call(request).result_int(), 200U);
  }

  refusing = true;
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(this->Call(Request("/draft/x", "100,50")).result_int(), 200U);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(1));
}

/// Upstreams that misbehave at random, and many bookings with different ids.
class RandomRefusalTest : public UpstreamRefusalTest {
 protected:
  enum class Fault {
    kNone,
    kRefuse,            // refuses the request
    kRefuseUnnamed,     // refuses the first request of the connection
                        // without its id
    kRepeatRefusal,     // writes an earlier refusal, then the answer
    kRepeatAndClose,    // writes an earlier refusal and closes
    kRepeatUnnamed,     // writes an earlier refusal without id, then answers
    kRepeatSuccess,     // writes an earlier success, then the answer
    kSignedRefusal,     // runs the request and answers like a refusal
    kPromisingFailure,  // runs the request and answers 503 itself
    kClose,             // runs the request and closes
    kCount
  };

  void RecordRun(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    ++this->runs_of[id];
  }
  Fault Draw() {
    const std::lock_guard lock(this->mutex);
    // One request in two is served as it should be.
    if (this->random() % 2 == 0) return Fault::kNone;
    return static_cast<Fault>(this->random() %
                              static_cast<uint64_t>(Fault::kCount));
  }
  /// The id that this connection carried before, if any; remembers `id`.
  std::string EarlierId(const Tcp::socket& socket, const std::string& id) {
    const std::lock_guard lock(this->mutex);
    std::string earlier = this->last_id[&socket];
    this->last_id[&socket] = id;
    return earlier;
  }

  std::optional<HttpAnswer> Misbehave(const HttpRequest& request,
                                      Tcp::socket& socket) {
    const std::string id(request["Attempt-Id"]);
    const std::string earlier = this->EarlierId(socket, id);
    const Fault fault = this->Draw();
    const bool is_first = earlier.empty();
    if (fault == Fault::kRefuse) return Refusal(id);
    if (fault == Fault::kRefuseUnnamed && is_first) return Refusal("");

    if (fault == Fault::kRepeatRefusal || fault == Fault::kRepeatAndClose) {
      Write(socket, Refusal(is_first ? "r0" : earlier));
    }
    if (fault == Fault::kRepeatUnnamed && !is_first) Write(socket, Refusal(""));
    HttpAnswer answer = Signed(request);
    answer.body() = id;
    if (fault == Fault::kRepeatSuccess && !is_first) {
      HttpAnswer late = answer;
      late.set("Attempt-Id", earlier);
      late.body() = earlier;
      Write(socket, late);
    }
    this->RecordRun(id);
    if (fault == Fault::kRepeatAndClose || fault == Fault::kClose) {
      return std::nullopt;
    }
    if (fault == Fault::kSignedRefusal) answer.set("Not-Executed", "1");
    if (fault == Fault::kSignedRefusal || fault == Fault::kPromisingFailure) {
      answer.result(503);
    }
    return answer;
  }

  std::mutex mutex;
  std::mt19937_64 random;
  std::map<std::string, int> runs_of;
  std::map<const Tcp::socket*, std::string> last_id;
};

// REFUSED, TWICE and MIXED over many exchanges with upstreams that write
// refusals and answers nobody asked for.
TEST_F(RandomRefusalTest, FaultyUpstreams_RefusalsAreTrueAndNothingRunsTwice) {
  constexpr int kBookings = 600;
  for (const uint64_t seed : {1, 2, 3}) {
    this->random.seed(seed);
    this->last_id.clear();
    const auto script = [this](const HttpRequest& request,
                               Tcp::socket& socket) {
      return this->Misbehave(request, socket);
    };
    FaultyUpstream first(script);
    FaultyUpstream second(script);
    FaultyUpstream third(script);
    this->Start({&first, &second, &third});

    int served = 0;
    for (int i = 1; i <= kBookings; ++i) {
      const std::string id = std::to_string(seed) + "-" + std::to_string(i);
      const HttpAnswer answer = this->Book(id);
      const std::lock_guard lock(this->mutex);
      EXPECT_LE(this->runs_of[id], 1) << "booking " << id;
      if (answer.result_int() == 503 || answer.result_int() == 429) {
        EXPECT_EQ(this->runs_of[id], 0) << "booking " << id;
      }
      if (answer.result_int() != 200) continue;
      ++served;
      EXPECT_EQ(answer.body(), id);
    }
    // Half of the answers are faultless, and a faulty one is no reason to give
    // up the upstream.
    EXPECT_GT(served, kBookings / 2) << "seed " << seed;
    this->TearDown();
  }
}

}  // namespace
}  // namespace fuchsiadrum::gateway
