// Uses the budget ledger of the installed library: tops a budget up, grants a
// part of it, and shows that a grant above the rest is rejected.
#include <cstdio>

#include "fuchsiadrum/budget/ledger.h"

namespace fd = fuchsiadrum;

namespace {

fd::pb::Record TopUp(int64_t tokens) {
  fd::pb::Record record;
  fd::pb::TopUp& top_up = *record.mutable_top_up();
  top_up.set_organisation("choir-hire");
  top_up.set_tokens(tokens);
  top_up.set_top_up_id("first");
  top_up.set_author("ana");
  return record;
}

fd::pb::Record Grant(int64_t amount) {
  fd::pb::Record record;
  fd::pb::Grant& grant = *record.mutable_grant();
  grant.set_organisation("choir-hire");
  grant.set_amount(amount);
  *grant.mutable_holder() = fd::VmRef{"vm-a", 1}.ToProto();
  *grant.mutable_fine_witness() = fd::VmRef{"vm-b", 1}.ToProto();
  *grant.mutable_coarse_witness() = fd::VmRef{"vm-c", 1}.ToProto();
  return record;
}

}  // namespace

int main() {
  fd::budget::Ledger ledger;
  const fd::VmRef writer{"vm-a", 1};
  ledger.Apply({0, 0}, writer, TopUp(1000));
  const fd::Verdict first = ledger.Apply({1, 0}, writer, Grant(700));
  const fd::Verdict second = ledger.Apply({2, 0}, writer, Grant(700));

  const fd::budget::Account* account = ledger.Find("choir-hire");
  std::printf("first grant %s, second grant %s, available %lld\n",
              fd::VerdictName(first).data(), fd::VerdictName(second).data(),
              static_cast<long long>(account->available.count));
  const bool expected = first == fd::Verdict::kAccepted &&
                        second == fd::Verdict::kRejected &&
                        account->available == fd::Tokens(300);
  return expected ? 0 : 1;
}
