#include "modules/decisions/prefix_index.h"

#include <algorithm>

namespace chicory {

uint64_t PrefixIndex::GenerationOf(UpstreamId upstream) const {
  auto found = generations_.find(upstream);
  return found == generations_.end() ? 0 : found->second;
}

bool PrefixIndex::IsCurrent(const Holder& holder) const {
  return holder.generation == GenerationOf(holder.upstream);
}

void PrefixIndex::InsertBlock(UpstreamId upstream, uint64_t block) {
  auto [found, is_new] = holders_.try_emplace(block);
  if (is_new) {
    insertion_order_.push_back(block);
    if (insertion_order_.size() > max_blocks_) {
      holders_.erase(insertion_order_.front());
      insertion_order_.pop_front();
      found = holders_.find(block);
    }
  }
  std::vector<Holder>& holders = found->second;
  const Holder added{upstream, GenerationOf(upstream)};
  for (Holder& holder : holders) {
    if (holder.upstream != upstream)
      continue;
    holder = added;
    return;
  }
  if (holders.size() >= kMaxHolders)
    holders.erase(holders.begin());
  holders.push_back(added);
}

void PrefixIndex::Insert(UpstreamId upstream,
                         const std::vector<uint64_t>& blocks) {
  for (uint64_t block : blocks)
    InsertBlock(upstream, block);
}

void PrefixIndex::OnEvent(UpstreamId upstream,
                          uint64_t sequence,
                          uint64_t block,
                          bool stored) {
  uint64_t& last = last_sequence_[upstream];
  if (sequence <= last)
    return;
  if (last != 0 && sequence != last + 1)
    Invalidate(upstream);
  last_sequence_[upstream] = sequence;
  if (stored) {
    InsertBlock(upstream, block);
    return;
  }
  auto found = holders_.find(block);
  if (found == holders_.end())
    return;
  std::vector<Holder>& holders = found->second;
  holders.erase(std::remove_if(holders.begin(), holders.end(),
                               [&](const Holder& holder) {
                                 return holder.upstream == upstream;
                               }),
                holders.end());
}

void PrefixIndex::Invalidate(UpstreamId upstream) {
  ++generations_[upstream];
}

void PrefixIndex::OnRestart(UpstreamId upstream) {
  Invalidate(upstream);
  last_sequence_.erase(upstream);
}

size_t PrefixIndex::MatchedBlocks(UpstreamId upstream,
                                  const std::vector<uint64_t>& blocks) const {
  size_t matched = 0;
  for (uint64_t block : blocks) {
    auto found = holders_.find(block);
    if (found == holders_.end())
      break;
    const bool holds = std::any_of(
        found->second.begin(), found->second.end(), [&](const Holder& holder) {
          return holder.upstream == upstream && IsCurrent(holder);
        });
    if (!holds)
      break;
    ++matched;
  }
  return matched;
}

PrefixIndex::Match PrefixIndex::LongestMatch(
    const std::vector<uint64_t>& blocks) const {
  Match best;
  if (blocks.empty())
    return best;
  auto first = holders_.find(blocks.front());
  if (first == holders_.end())
    return best;
  for (const Holder& holder : first->second) {
    const size_t matched = MatchedBlocks(holder.upstream, blocks);
    if (matched > best.blocks)
      best = {holder.upstream, matched};
  }
  return best;
}

}  // namespace chicory
