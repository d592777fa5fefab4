#include "modules/decisions/answer_assembler.h"

#include <utility>

namespace chicory {

void AnswerAssembler::BeginAttempt(std::string attempt) {
  attempt_ = std::move(attempt);
}

PieceVerdict AnswerAssembler::Judge(const AnswerPiece& piece) {
  if (piece.attempt != attempt_)
    return PieceVerdict::kDrop;
  if (piece.is_end) {
    return piece.total == delivered_ ? PieceVerdict::kComplete
                                     : PieceVerdict::kBroken;
  }
  if (piece.index < delivered_)
    return PieceVerdict::kDrop;
  if (piece.index > delivered_)
    return PieceVerdict::kBroken;
  ++delivered_;
  return PieceVerdict::kDeliver;
}

}  // namespace chicory
