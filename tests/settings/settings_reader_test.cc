#include "settings/settings_reader.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

#include "settings/daemon_checks.h"

namespace fuchsiadrum::settings {
namespace {

const std::string kRequired =
    "[vm]\nname = a1\navailability_zone = a\n"
    "[peer]\nfleet_key = " +
    std::string(64, 'a') + "\n[platform]\nlog = 127.0.0.1:9000\n";

class SettingsReaderTest : public ::testing::Test {
 protected:
  void SetUp() override {
    this->file = ::testing::TempDir() + "settings_reader_test.ini";
  }
  void TearDown() override { std::remove(this->file.c_str()); }

  bool Read(const std::string& text) {
    std::ofstream(this->file) << text;
    return ReadDaemonSettings(this->file, this->settings, this->faults);
  }
  bool HasFault(const std::string& section, const std::string& key,
                const std::string& reason) const {
    for (const SettingsFault& fault : this->faults) {
      if (fault.section == section && fault.key == key &&
          fault.reason.find(reason) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  std::string file;
  pb::DaemonSettings settings;
  SettingsFaults faults;
};

// Guards against lost defaults and values.
TEST_F(SettingsReaderTest, Read_RequiredOnly_FillsDefaults) {
  ASSERT_TRUE(this->Read(kRequired + "[front]\nmax_connections = 7\n"));
  EXPECT_EQ(this->settings.vm().name(), "a1");
  EXPECT_EQ(this->settings.front().max_connections(), 7U);
  EXPECT_EQ(this->settings.front().max_body_bytes(), 4194304U);
  EXPECT_FALSE(this->settings.log().json());
}

// Guards against a fault that hides the next one.
TEST_F(SettingsReaderTest, Read_SeveralFaults_ReportsEach) {
  EXPECT_FALSE(
      this->Read("[vm]\nname = a1\npeers = b1@b, c1@c@127.0.0.1:1\n"
                 "[front]\nmax_body_bytes = 12\nmax_connections = 7x\n"
                 "listen = localhost:80\ncolour = red\n"
                 "[log]\njson = yes\n[nonsense]\na = 1\n"));
  EXPECT_TRUE(this->HasFault("vm", "availability_zone", "missing"));
  EXPECT_TRUE(this->HasFault("vm", "peers", "name@zone@IP:port"));
  EXPECT_TRUE(this->HasFault("front", "max_body_bytes", "outside"));
  EXPECT_TRUE(this->HasFault("front", "max_connections", "whole number"));
  EXPECT_TRUE(this->HasFault("front", "listen", "IP:port"));
  EXPECT_TRUE(this->HasFault("front", "colour", "unknown key"));
  EXPECT_TRUE(this->HasFault("log", "json", "neither"));
  EXPECT_TRUE(this->HasFault("nonsense", "", "unknown section"));
  EXPECT_TRUE(this->HasFault("peer", "fleet_key", "missing"));
}

// Guards against the last of two values winning silently.
TEST_F(SettingsReaderTest, Read_DuplicateKeyOrSection_IsAFault) {
  EXPECT_FALSE(this->Read(kRequired + "[log]\njson = true\njson = false\n"));
  EXPECT_TRUE(this->HasFault("", "", "duplicate key"));
  EXPECT_FALSE(this->Read(kRequired + "[vm]\nname = b1\n"));
  EXPECT_TRUE(this->HasFault("", "", "duplicate section"));
}

// Guards against lines that the parser would drop.
TEST_F(SettingsReaderTest, Read_SyntaxErrorOrNoFile_IsAFault) {
  EXPECT_FALSE(this->Read("[vm\nname"));
  ASSERT_EQ(this->faults.size(), 1U);
  EXPECT_NE(this->faults[0].ToString().find("line 1"), std::string::npos);
  EXPECT_FALSE(
      ReadDaemonSettings(this->file + ".none", this->settings, this->faults));
  EXPECT_FALSE(this->Read("stray = 1\n" + kRequired));
  EXPECT_TRUE(this->HasFault("", "stray", "outside of a section"));
}

// Guards against an empty section name hiding its faults.
TEST_F(SettingsReaderTest, Read_EmptyUnknownSection_IsAFault) {
  EXPECT_FALSE(this->Read(kRequired + "[nonsense]\n"));
  EXPECT_EQ(this->faults.size(), 1U);
}

// Guards against a weak fleet key, and against the key in the output.
TEST_F(SettingsReaderTest, Read_ShortFleetKey_IsAFaultWithoutTheKey) {
  EXPECT_FALSE(
      this->Read("[vm]\nname = a1\navailability_zone = a\n[peer]\n"
                 "fleet_key = abcd\n[platform]\nlog = 127.0.0.1:9000\n"));
  ASSERT_TRUE(this->HasFault("peer", "fleet_key", "32 bytes"));
  EXPECT_EQ(this->faults[0].reason.find("abcd"), std::string::npos);
}

// Guards against keys that operators cannot look up.
TEST_F(SettingsReaderTest, Describe_NamesDefaultUnitAndRange) {
  const std::string text = SettingsReader::Describe(this->settings);
  EXPECT_NE(text.find("[front]"), std::string::npos);
  EXPECT_NE(text.find("integer, default 16384, bytes, 1024..1048576"),
            std::string::npos);
}

}  // namespace
}  // namespace fuchsiadrum::settings
