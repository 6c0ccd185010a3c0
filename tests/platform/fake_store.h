#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "fuchsiadrum/core/base64.h"
#include "tests/platform/loopback_server.h"

namespace fuchsiadrum::gateway {

/// In-memory fake of the platform's store: keyed streams behind its HTTP
/// protocol.
class FakeStore {
 public:
  FakeStore()
      : server([this](const auto& r, auto& s) { return this->Serve(r, s); }) {}

  std::string Address() const { return this->server.Address(); }
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    this->PutTogether(topic, {{key, value}});
  }
  /// Appends the records at once, so that one read returns all of them.
  void PutTogether(
      const std::string& topic,
      const std::vector<std::pair<std::string, std::string>>& records) {
    const std::lock_guard lock(this->mutex);
    for (const auto& [key, value] : records) {
      std::string record(1, static_cast<char>(key.size()));
      record += key;
      record += value;
      this->streams[topic].push_back(std::move(record));
    }
    this->appended.notify_all();
  }
  /// Appends a record to each partition that exists of the topics whose names
  /// start with `topic`.
  void PutToAll(const std::string& topic, const std::string& key,
                const std::string& value) {
    const std::string record = static_cast<char>(key.size()) + key + value;
    const std::lock_guard lock(this->mutex);
    for (auto& [name, stream] : this->streams) {
      if (name.starts_with(topic)) stream.push_back(record);
    }
  }
  /// Value of the last record with that key in the partitions of all topics
  /// whose names start with `topic`; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) {
    const std::lock_guard lock(this->mutex);
    std::string found;
    for (const auto& [name, stream] : this->streams) {
      if (!name.starts_with(topic)) continue;
      for (const std::string& record : stream) {
        const size_t size = static_cast<unsigned char>(record[0]);
        if (record.substr(1, size) == key) found = record.substr(1 + size);
      }
    }
    return found;
  }
  /// Copies all streams. The store names an era in its answers from now on.
  void TakeCopy() {
    const std::lock_guard lock(this->mutex);
    this->copy = this->streams;
    this->copied_answers = this->answered;
    if (this->era == 0) this->era = 1;
  }
  /// Puts the last copy in the place of what was written since, and begins the
  /// next era.
  void RestoreCopy() {
    const std::lock_guard lock(this->mutex);
    // Calls that wait refer to the streams.
    for (auto& [name, stream] : this->streams) stream = this->copy[name];
    this->answered = this->copied_answers;
    ++this->era;
    this->appended.notify_all();
  }
  /// Era in all answers; 0: they name none.
  std::atomic<int> era{0};
  /// While set, every call is answered with status 503.
  std::atomic<bool> refusing{false};
  /// While set, the partition of the gateways' heartbeats takes no append.
  std::atomic<bool> refuses_heartbeats{false};
  /// If not 0, answers to reads of the newest configuration are sent in this
  /// many parts, 0.1 s apart.
  std::atomic<int> config_read_parts{0};
  /// Time by which answers to reads of the operators' stream are sent later
  /// than they were made, in milliseconds.
  std::atomic<int> config_answer_delay_ms{0};
  /// Number of reads of the tail of the operators' stream.
  std::atomic<int> config_tail_reads{0};
  /// Number of calls for the newest records of the operators' stream.
  std::atomic<int> config_reads{0};
  /// Number of next appends to the accounts that are applied but not answered.
  std::atomic<int> lost_account_answers{0};
  /// Number of next appends to the accounts that are not applied, and answered
  /// with the answer to the append before.
  std::atomic<int> repeated_account_answers{0};
  /// Number of next appends to the accounts that are applied, and answered as
  /// if the partition had ended earlier: an answer 412 to an earlier append.
  std::atomic<int> earlier_account_mismatches{0};
  /// Number of next appends to the accounts that are applied, and answered with
  /// an interim answer 0.1 s before the answer.
  std::atomic<int> interim_account_answers{0};
  /// Number of next appends to the accounts that are applied, and answered with
  /// status 500.
  std::atomic<int> failed_account_answers{0};
  /// Time that an append takes, in milliseconds.
  std::atomic<int> append_ms{0};
  /// Number of next reads of the tail of the operators' stream that are
  /// answered as if its beginning were no longer retained.
  std::atomic<int> expired_config_reads{0};
  /// While set, the newest records leave out keys that were deleted.
  std::atomic<bool> omits_deleted{false};
  /// While set, a read at the end of a stream waits for the next record for as
  /// long as it asks.
  std::atomic<bool> holds_reads{false};

 private:
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t at = target.find(name + "=");
    if (at == std::string::npos) return "";
    const size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  static std::string BigEndian(uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
      out += static_cast<char>((value >> (8 * i)) & 255U);
    }
    return out;
  }

  std::optional<HttpAnswer> Serve(const HttpRequest& request,
                                  Tcp::socket& socket) {
    const std::string target(request.target());
    const bool reads_config = target.starts_with("/log-newest?topic=keyed.op");
    if (reads_config) ++this->config_reads;
    const bool reads_tail = target.starts_with("/log-read?topic=keyed.op");
    if (reads_tail) ++this->config_tail_reads;
    if (reads_tail && this->expired_config_reads > 0) {
      --this->expired_config_reads;
      HttpAnswer expired(http::status::gone, 11);
      expired.body() = R"({"first":0})";
      return expired;
    }
    const bool writes_account =
        target.starts_with("/log-append?topic=keyed.fuchsiadrum-accounts");
    if (writes_account && this->repeated_account_answers > 0) {
      --this->repeated_account_answers;
      return this->last_account_answer;
    }
    HttpAnswer answer = this->Handle(request);
    if (reads_config || reads_tail) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->config_answer_delay_ms));
    }
    if (this->era > 0) answer.set("Store-Era", std::to_string(this->era));
    if (writes_account) this->last_account_answer = answer;
    if (writes_account && this->earlier_account_mismatches > 0) {
      --this->earlier_account_mismatches;
      HttpAnswer earlier(http::status::precondition_failed, 11);
      earlier.body() = nlohmann::json{{"end_offset", 0}}.dump();
      return earlier;
    }
    if (writes_account && this->interim_account_answers > 0) {
      --this->interim_account_answers;
      ErrorCode ignored;
      const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
      asio::write(socket, asio::buffer(interim), ignored);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      return answer;
    }
    if (writes_account && this->failed_account_answers > 0) {
      --this->failed_account_answers;
      return HttpAnswer(http::status::internal_server_error, 11);
    }
    if (writes_account && this->lost_account_answers > 0) {
      --this->lost_account_answers;
      return std::nullopt;
    }
    if (this->config_read_parts == 0 || !reads_config) return answer;
    answer.prepare_payload();
    std::ostringstream text;
    text << answer;
    const std::string bytes = text.str();
    const size_t size =
        bytes.size() / static_cast<size_t>(this->config_read_parts) + 1;
    ErrorCode error;
    for (size_t at = 0; at < bytes.size() && !error; at += size) {
      if (at > 0) std::this_thread::sleep_for(std::chrono::milliseconds(100));
      asio::write(socket, asio::buffer(bytes.substr(at, size)), error);
    }
    return std::nullopt;
  }

  HttpAnswer Handle(const HttpRequest& request) {
    HttpAnswer answer(http::status::ok, 11);
    if (this->refusing) {
      answer.result(http::status::service_unavailable);
      return answer;
    }
    const std::string target(request.target());
    if (target.starts_with("/log-append")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(this->append_ms));
    }
    if (this->refuses_heartbeats &&
        target.starts_with("/log-append?topic=keyed.fuchsiadrum&")) {
      answer.result(http::status::service_unavailable);
      return answer;
    }
    std::unique_lock lock(this->mutex);
    const std::string topic = Parameter(target, "topic");
    const std::string part = Parameter(target, "part");
    auto& stream = this->streams[part == "0" ? topic : topic + "/" + part];
    if (target.starts_with("/log-append")) {
      // A repeat of an append gets its first answer again.
      const std::string producer = Parameter(target, "producer");
      const std::string repeat = topic + "/" + part + "/" + producer + "/" +
                                 Parameter(target, "epoch") + "/" +
                                 Parameter(target, "sequence");
      const auto first_answer = this->answered.find(repeat);
      if (!producer.empty() && first_answer != this->answered.end()) {
        return first_answer->second;
      }
      const std::string at = Parameter(target, "at");
      const size_t first = stream.size();
      if (!at.empty() && std::stoul(at) != first) {
        answer.result(http::status::precondition_failed);
      } else {
        this->Append(request.body(), stream);
      }
      answer.body() = nlohmann::json{
          {"offset", first},
          {"end_offset",
           stream.size()}}.dump();
      if (answer.result_int() == 200) this->answered[repeat] = answer;
    } else if (target.starts_with("/log-newest")) {
      answer.body() = NewestPage(stream);
    } else {
      const size_t from = std::stoul(Parameter(target, "from"));
      const std::string wait_ms = Parameter(target, "wait_ms");
      if (this->holds_reads && !wait_ms.empty()) {
        this->appended.wait_for(lock,
                                std::chrono::milliseconds(std::stoi(wait_ms)),
                                [&] { return stream.size() > from; });
      }
      if (from > stream.size()) {
        answer.result(http::status::gone);
        answer.body() = R"({"first":0})";
        return answer;
      }
      answer.body() = BigEndian(stream.size(), 8) + BigEndian(0, 8);
      for (size_t i = from; i < stream.size(); ++i) {
        answer.body() += BigEndian(stream[i].size(), 4) + stream[i];
      }
    }
    return answer;
  }

  void Append(std::string_view body, std::vector<std::string>& stream) {
    constexpr size_t kLength = 4;
    while (body.size() >= kLength) {
      size_t length = 0;
      for (const unsigned char c : body.substr(0, kLength)) {
        length = length * 256 + c;
      }
      stream.emplace_back(body.substr(kLength, length));
      body.remove_prefix(kLength + length);
    }
  }

  std::string NewestPage(const std::vector<std::string>& stream) const {
    std::map<std::string, std::pair<std::string, size_t>> newest;
    for (size_t i = 0; i < stream.size(); ++i) {
      const size_t size = static_cast<unsigned char>(stream[i][0]);
      newest[stream[i].substr(1, size)] = {stream[i].substr(1 + size), i};
    }
    nlohmann::json page = {{"items", nlohmann::json::array()},
                           {"more_pages", false},
                           {"end_offset", stream.size()}};
    for (const auto& [key, value] : newest) {
      if (this->omits_deleted && value.first.empty()) continue;
      page["items"].push_back({{"key", key},
                               {"value", ToBase64(value.first)},
                               {"offset", value.second}});
    }
    return page.dump();
  }

  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, std::vector<std::string>> streams;
  std::map<std::string, std::vector<std::string>> copy;
  /// Answers to appends that were applied, by their partition, producer, epoch
  /// and sequence.
  std::map<std::string, HttpAnswer> answered;
  std::map<std::string, HttpAnswer> copied_answers;
  HttpAnswer last_account_answer;
  LoopbackServer server;
};

}  // namespace fuchsiadrum::gateway
