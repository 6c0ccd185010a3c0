#include "daemon/platform_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fuchsiadrum/core/base64.h"
#include "fuchsiadrum/core/bounded_json.h"
#include "fuchsiadrum/core/json_number.h"

namespace fuchsiadrum::daemon {
namespace {

using nlohmann::json;

std::optional<uint64_t> Number(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end()) return std::nullopt;
  const auto number = WholeNumber(*found);
  if (!number) return std::nullopt;
  return static_cast<uint64_t>(*number);
}

}  // namespace

std::optional<LogRead> ParseLogRead(const std::string& text) {
  const json body = ParseBoundedJson(text);
  if (!body.is_object()) return std::nullopt;
  const auto first = Number(body, "first");
  const auto end = Number(body, "end");
  if (!first || !end || *first > *end) return std::nullopt;

  LogRead out;
  out.bounds = LogRead::Bounds{.first = *first, .end = *end};
  out.from = Number(body, "from").value_or(0);
  const auto records = body.find("records");
  if (records == body.end()) return out;
  if (!records->is_array()) return std::nullopt;
  for (const json& record : *records) {
    if (!record.is_string()) return std::nullopt;
    auto bytes = FromBase64(record.get_ref<const std::string&>());
    if (!bytes) return std::nullopt;
    out.batches.push_back(std::move(*bytes));
  }
  return out;
}

std::optional<std::vector<node::ListedVm>> ParseVmList(
    const std::string& text) {
  const json body = ParseBoundedJson(text);
  if (!body.is_object()) return std::nullopt;
  const auto vms = body.find("vms");
  if (vms == body.end() || !vms->is_array()) return std::nullopt;

  std::vector<node::ListedVm> out;
  for (const json& vm : *vms) {
    if (!vm.is_object()) return std::nullopt;
    const auto name = vm.find("name");
    if (name == vm.end() || !name->is_string()) return std::nullopt;
    const auto leaving = vm.find("leaving");
    out.push_back(
        {.name = *name, .leaving = leaving != vm.end() && *leaving == true});
  }
  return out;
}

}  // namespace fuchsiadrum::daemon
