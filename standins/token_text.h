/// \file
/// Output of the emulated model: a pure function of prompt and position, so
/// that a resumed stream equals an uninterrupted one and tests can compute the
/// expected text.

#ifndef STANDINS_TOKEN_TEXT_H
#define STANDINS_TOKEN_TEXT_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace standins {

/// 64-bit FNV-1a hash of Text, continued from the state Seed.
constexpr uint64_t fnv1aHash(std::string_view Text,
                             uint64_t Seed = 0xcbf29ce484222325) {
  for (char C : Text)
    Seed = (Seed ^ static_cast<unsigned char>(C)) * 0x100000001b3;
  return Seed;
}

/// Length of the text of each token.
inline constexpr uint64_t TokenTextBytes = 7;

/// Returns the text of the token at Position (from 0) after the prompt with
/// this hash.
inline std::string tokenText(uint64_t PromptHash, uint64_t Position) {
  static constexpr std::array<const char *, 16> Syllables = {
      "ba", "ce", "di", "fo", "gu", "ha", "je", "ki",
      "lo", "mu", "na", "pe", "ri", "so", "tu", "ve"};
  // The splitmix64 mixer, so that adjacent positions give unrelated words.
  uint64_t X = PromptHash + (Position + 1) * 0x9e3779b97f4a7c15;
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9;
  X = (X ^ (X >> 27)) * 0x94d049bb133111eb;
  X ^= X >> 31;
  std::string Text = " ";
  for (int I = 0; I < 3; ++I, X >>= 4)
    Text += Syllables[X & 15];
  return Text;
}

/// Returns the text of the first Tokens tokens of the completion of Prompt.
inline std::string expectedCompletion(std::string_view Prompt,
                                      uint64_t Tokens) {
  uint64_t Hash = fnv1aHash(Prompt);
  std::string Text;
  for (uint64_t I = 0; I < Tokens; ++I)
    Text += tokenText(Hash, I);
  return Text;
}

} // namespace standins

#endif // STANDINS_TOKEN_TEXT_H
