#pragma once

#include <set>

#include "fuchsiadrum/core/types.h"

namespace fuchsiadrum::budget {

/// The amounts of the requests of one organisation that wait for tokens.
class WaitingRequests {
 public:
  void Add(Tokens amount) {
    this->amounts.insert(amount);
    this->sum += amount;
  }
  /// Removes one request of this amount, which must have been added.
  void Remove(Tokens amount) {
    this->amounts.erase(this->amounts.find(amount));
    this->sum -= amount;
  }
  bool IsEmpty() const { return this->amounts.empty(); }
  Tokens Sum() const { return this->sum; }
  /// The smallest amount; 0 if no request waits.
  Tokens Smallest() const {
    return this->amounts.empty() ? Tokens(0) : *this->amounts.begin();
  }

 private:
  std::multiset<Tokens> amounts;
  Tokens sum;
};

}  // namespace fuchsiadrum::budget
