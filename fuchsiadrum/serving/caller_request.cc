#include "fuchsiadrum/serving/caller_request.h"

#include "fuchsiadrum/core/whole_number.h"

namespace fuchsiadrum::serving {

std::optional<Tokens> CallerRequest::MaxTokens() const {
  if (!this->prompt_tokens || !this->max_output_tokens) return std::nullopt;
  const auto sum =
      CheckedSum(this->prompt_tokens->count, this->max_output_tokens->count);
  if (!sum) return std::nullopt;
  return Tokens(*sum);
}

}  // namespace fuchsiadrum::serving
