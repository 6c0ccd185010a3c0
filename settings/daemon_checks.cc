#include "settings/daemon_checks.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

#include "fuchsiadrum/core/hash.h"
#include "settings/endpoint.h"
#include "settings/settings_reader.h"

namespace fuchsiadrum::settings {
namespace {

constexpr size_t kMinFleetKeyBytes = 32;
constexpr size_t kPublicKeyBytes = 32;

class DaemonChecks {
 public:
  DaemonChecks(std::string path, SettingsFaults& found)
      : file(std::move(path)), faults(found) {}

  void Address(const std::string& section, const std::string& key,
               const std::string& text, bool may_be_empty) {
    if (text.empty() && may_be_empty) return;
    if (!Endpoint::Parse(text)) {
      this->Add(section, key, "\"" + text + "\" is not of the form IP:port");
    }
  }

  void OneOf(const std::string& section, const std::string& key,
             const std::string& text,
             const std::vector<std::string_view>& allowed) {
    if (std::ranges::find(allowed, text) != allowed.end()) return;
    std::string names;
    for (const std::string_view name : allowed) {
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    this->Add(section, key, "\"" + text + "\" is none of " + names);
  }

  void Peers(const pb::VmSettings& vm) {
    std::set<std::string> names = {vm.name()};
    for (const std::string& text : vm.peers()) {
      const auto peer = PeerAddress::Parse(text);
      if (!peer) {
        this->Add("vm", "peers",
                  "\"" + text + "\" is not of the form name@zone@IP:port");
      } else if (!names.insert(peer->vm.ref.vm).second) {
        this->Add("vm", "peers",
                  "\"" + peer->vm.ref.vm + "\" is named twice or is this VM");
      }
    }
  }

  // Secrets are not repeated in the reason.
  void HexKey(const std::string& section, const std::string& key,
              const std::string& hex, size_t min_bytes) {
    if (FromHex(hex).size() < min_bytes) {
      this->Add(
          section, key,
          "is not hex of at least " + std::to_string(min_bytes) + " bytes");
    }
  }

  void Add(const std::string& section, const std::string& key,
           const std::string& reason) {
    this->faults.push_back({this->file, section, key, reason});
  }

 private:
  std::string file;
  SettingsFaults& faults;
};

}  // namespace

void CheckDaemonSettings(const std::string& file,
                         const pb::DaemonSettings& settings,
                         SettingsFaults& faults) {
  DaemonChecks checks(file, faults);
  checks.Address("front", "listen", settings.front().listen(), false);
  checks.Address("admin", "listen", settings.admin().listen(), false);
  checks.Address("peer", "listen", settings.peer().listen(), false);
  if (!settings.platform().log().empty()) {
    checks.Address("platform", "log", settings.platform().log(), false);
  }
  checks.Address("platform", "vm_list", settings.platform().vm_list(), true);
  checks.Peers(settings.vm());
  if (!settings.peer().fleet_key().empty()) {
    checks.HexKey("peer", "fleet_key", settings.peer().fleet_key(),
                  kMinFleetKeyBytes);
  }
  if (!settings.operators().root_public_key().empty()) {
    checks.HexKey("operators", "root_public_key",
                  settings.operators().root_public_key(), kPublicKeyBytes);
  }

  checks.OneOf("budget", "preset", settings.budget().preset(),
               {"coral-andina", "darilni-zreb"});
  checks.OneOf("upstream", "policy", settings.upstream().policy(),
               {"cost", "random", "round-robin", "least-reported"});
  checks.OneOf("log", "level", settings.log().level(),
               {"trace", "debug", "info", "warning", "error", "fatal"});

  if (settings.peer().seal_after_ms() <= settings.peer().suspect_after_ms()) {
    checks.Add("peer", "seal_after_ms", "must be above suspect_after_ms");
  }
}

bool ReadDaemonSettings(const std::string& file, pb::DaemonSettings& settings,
                        SettingsFaults& faults) {
  SettingsReader reader;
  reader.Read(file, settings);
  faults = reader.Faults();

  // After a syntax error there are no values to check.
  const bool parsed = settings.has_vm();
  if (parsed) CheckDaemonSettings(file, settings, faults);
  return faults.empty();
}

}  // namespace fuchsiadrum::settings
