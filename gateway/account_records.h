#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiadrum/budget/fleet_account.h"
#include "fuchsiadrum/store/keyed_view.h"

namespace fuchsiadrum::gateway {

/// Records of the partitions that hold accounts: one for each grant, by
/// organisation and holder, and one with the book of all accounts.
std::string_view BookKey();
bool IsGrantKey(std::string_view key);
std::string GrantKey(const std::string& organisation,
                     const std::string& holder);

store::KeyedRecord EncodeGrant(const std::string& organisation,
                               const std::string& holder,
                               const budget::RecordedGrant& recorded);
store::KeyedRecord EncodeBook(const budget::AccountBook& book);

/// Return nullopt if the record is no grant, or no book.
std::optional<budget::RecordedGrant> DecodeGrant(
    const store::KeyedRecord& record);
std::optional<budget::AccountBook> DecodeBook(const store::KeyedRecord& record);

}  // namespace fuchsiadrum::gateway
