/// \file
/// Share of one response in a buffer_budget; returned when it is destroyed.

#ifndef CARDAMOM_POLICY_BUFFER_CHARGE_H
#define CARDAMOM_POLICY_BUFFER_CHARGE_H

#include "policy/buffer_budget.h"

#include <memory>
#include <utility>

namespace cardamom {

class buffer_charge {
public:
  explicit buffer_charge(std::shared_ptr<buffer_budget> Budget)
      : Budget(std::move(Budget)) {}
  ~buffer_charge() { set(0); }
  buffer_charge(const buffer_charge &) = delete;
  buffer_charge &operator=(const buffer_charge &) = delete;

  /// Sets the number of bytes that the response holds. Returns whether it may
  /// go on.
  bool set(size_t NewBytes) {
    Budget->replace(Bytes, NewBytes);
    Bytes = NewBytes;
    return Budget->mayHold(Bytes);
  }

private:
  std::shared_ptr<buffer_budget> Budget;
  size_t Bytes = 0;
};

} // namespace cardamom

#endif // CARDAMOM_POLICY_BUFFER_CHARGE_H
