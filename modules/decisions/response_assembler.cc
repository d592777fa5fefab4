#include "modules/decisions/response_assembler.h"

#include <utility>

namespace chicory {

void ResponseAssembler::BeginAttempt(std::string attempt) {
  attempt_ = std::move(attempt);
}

ChunkVerdict ResponseAssembler::Classify(const ResponseChunk& piece) {
  if (piece.attempt != attempt_)
    return ChunkVerdict::kDrop;
  if (piece.is_end) {
    return piece.total == delivered_ ? ChunkVerdict::kComplete
                                     : ChunkVerdict::kBroken;
  }
  if (piece.index < delivered_)
    return ChunkVerdict::kDrop;
  if (piece.index > delivered_)
    return ChunkVerdict::kBroken;
  ++delivered_;
  return ChunkVerdict::kDeliver;
}

}  // namespace chicory
