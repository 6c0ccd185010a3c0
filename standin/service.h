#pragma once

#include <string>
#include <vector>

#include "standin/http_server.h"

namespace fuchsiadrum::standin {

/// Settings of the plain service stand-in.
struct ServiceOptions {
  std::string name = "booking";
  uint32_t delay_ms = 5;
};

/// A plain service: executes each call that it gets and keeps a record. It
/// does not deduplicate, so that calls that ran twice can be found.
///
/// Any path; GET /v1/load; GET /record; POST /fault
/// {"silent","lose_answers","reject","leaving"}
class Service : public Role {
 public:
  explicit Service(ServiceOptions options) : options(std::move(options)) {}

  asio::awaitable<void> Handle(Request request, Responder& out) override;

 private:
  struct Call {
    std::string method;
    std::string target;
    std::string request_id;
    std::string key;
  };

  asio::awaitable<void> HandleFault(const std::string& body, Responder& out);
  size_t AddCall(const Request& request);
  nlohmann::json Load() const;
  nlohmann::json Answer(size_t number) const;
  nlohmann::json Record() const;

  ServiceOptions options;
  std::vector<Call> calls;
  uint32_t running = 0;
  bool silent = false;
  bool lose_answers = false;
  bool reject = false;
  bool leaving = false;
};

}  // namespace fuchsiadrum::standin
