#include "jobs/result_page.h"

#include <algorithm>

namespace cardamom {

std::string encodeResultPage(std::span<const item_result> Listed,
                             uint64_t Total, uint64_t After, size_t MaxBytes,
                             const gateway_protocols &Protocols) {
  const size_t First = std::min<size_t>(After, Listed.size());
  size_t Last = First;
  size_t Bytes = 0;
  while (Last < Listed.size()) {
    Bytes += Listed[Last].Text.size();
    if (Last > First && Bytes > MaxBytes)
      break;
    ++Last;
  }
  return Protocols.EncodeResults(
      {.Total = Total,
       .Next = std::max<uint64_t>(After, Last),
       .Results = Listed.subspan(First, Last - First)});
}

} // namespace cardamom
