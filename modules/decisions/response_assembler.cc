#include "modules/decisions/response_assembler.h"

#include <utility>

namespace chicory {

void ResponseAssembler::BeginAttempt(std::string attempt) {
  attempt_ = std::move(attempt);
}

ChunkVerdict ResponseAssembler::Classify(const ResponseChunk& chunk) {
  if (chunk.attempt != attempt_)
    return ChunkVerdict::kDrop;
  if (chunk.is_end) {
    return chunk.total == delivered_ ? ChunkVerdict::kComplete
                                     : ChunkVerdict::kBroken;
  }
  if (chunk.index < delivered_)
    return ChunkVerdict::kDrop;
  if (chunk.index > delivered_)
    return ChunkVerdict::kBroken;
  ++delivered_;
  return ChunkVerdict::kDeliver;
}

}  // namespace chicory
