#ifndef Libraries_LibPlatform_ClaimRow_h
#define Libraries_LibPlatform_ClaimRow_h

#include "LibDispatch/Answer.h"
#include "LibDispatch/EntryIdentity.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillaworks::platform {

/** A submission's row in the table. */
struct ClaimRow
{
  dispatch::EntryIdentity owner;
  std::string digest;
  /** Version of the row when first claimed; 0 in that first write itself. */
  std::uint64_t firstSequence = 0;
  /** Set once the submission has ended. */
  std::optional<dispatch::Answer> answer;
  /** Names an object that holds the answer in place of the row. */
  std::string answerObject;

  /** Thread safe. */
  std::string Encode() const;
  /** Thread safe. Nothing where the value is not a claim. */
  static std::optional<ClaimRow> Decode(const std::string& aValue);
};

std::string
EncodeAnswer(const dispatch::Answer& aAnswer);
std::optional<dispatch::Answer>
DecodeAnswer(const std::string& aText);
std::string
ClaimKey(const SubmissionId& aSubmission);

}

#endif
