#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include "soak/soak_report.h"
#include "soak/soak_run.h"

namespace fuchsiadrum::soak {
namespace {

std::atomic<bool> interrupted{false};

void OnSignal(int /*signal*/) { interrupted = true; }

/// Each connection of upstreams and callers takes a file descriptor.
void RaiseDescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// Reads "A-B". Returns false if the text is malformed.
bool ReadRange(const std::string& text, uint64_t& first, uint64_t& last) {
  const size_t dash = text.find('-');
  if (dash == std::string::npos) return false;
  first = std::stoull(text.substr(0, dash));
  last = std::stoull(text.substr(dash + 1));
  return first <= last;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Runs gateways as processes under random faults and judges what callers "
      "and upstreams see.");
  SoakOptions options;
  const std::filesystem::path own(argv[0]);
  options.gateway_program =
      (own.parent_path() / "fuchsiadrum-gateway").string();
  std::string seeds;
  bool as_json = false;
  std::vector<std::string> known;
  app.add_option("--gateway", options.gateway_program, "program to start");
  app.add_option("--seed", options.seed);
  app.add_option("--seeds", seeds, "range of seeds, A-B");
  app.add_option("--seconds", options.seconds, "time with faults, per seed");
  app.add_option("--gateways", options.gateways)->check(CLI::Range(1, 50));
  app.add_option("--upstreams", options.upstreams)->check(CLI::Range(1, 50));
  app.add_option("--callers", options.callers)->check(CLI::Range(1, 200));
  app.add_option("--long-callers", options.long_callers,
                 "callers that ask for streams of some seconds")
      ->check(CLI::Range(0, 200));
  app.add_flag("--json", as_json, "one JSON object for each seed");
  app.add_option("--known", known,
                 "RULE:cause of violations that are printed but do not fail");
  CLI11_PARSE(app, argc, argv);

  uint64_t last = options.seed;
  if (!seeds.empty() && !ReadRange(seeds, options.seed, last)) {
    std::cerr << "fuchsiadrum-soak: --seeds is not of the form A-B\n";
    return 2;
  }
  std::signal(SIGINT, OnSignal);
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
  RaiseDescriptorLimit();

  int failed = 0;
  for (; options.seed <= last; ++options.seed) {
    SoakRun run(options);
    const std::string reason = run.Run(interrupted);
    if (!reason.empty()) {
      std::cerr << "fuchsiadrum-soak: " << reason << "\n";
      return 2;
    }
    const SoakReport report(options, run);
    report.Print(as_json ? std::cerr : std::cout);
    if (as_json) std::cout << report.ToJson().dump() << std::endl;
    if (report.CountUnknown(known) > 0) ++failed;
  }
  (as_json ? std::cerr : std::cout)
      << failed << " seeds with violations that are not known\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fuchsiadrum::soak

int main(int argc, char** argv) {
  try {
    return fuchsiadrum::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "fuchsiadrum-soak: " << error.what() << "\n";
    return 2;
  }
}
