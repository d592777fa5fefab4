#include "modules/decisions/answer_assembler.h"

#include <utility>

namespace chicory {

void AnswerAssembler::BeginAttempt(std::string attempt) {
  attempt_ = std::move(attempt);
}

PieceVerdict AnswerAssembler::Judge(const AnswerPiece& chunk) {
  if (chunk.attempt != attempt_)
    return PieceVerdict::kDrop;
  if (chunk.is_end) {
    return chunk.total == delivered_ ? PieceVerdict::kComplete
                                     : PieceVerdict::kBroken;
  }
  if (chunk.index < delivered_)
    return PieceVerdict::kDrop;
  if (chunk.index > delivered_)
    return PieceVerdict::kBroken;
  ++delivered_;
  return PieceVerdict::kDeliver;
}

}  // namespace chicory
