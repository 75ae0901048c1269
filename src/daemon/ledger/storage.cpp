#include "storage.hpp"

#include <algorithm>

namespace violetusher::ledger {

Op Op::of(Meta meta) {
  Op op;
  op.meta = std::move(meta);
  return op;
}

Op Op::with_number(Kind kind, std::uint64_t number) {
  Op op;
  op.kind = kind;
  op.number = number;
  return op;
}

Op Op::append(LogEntry entry) {
  Op op;
  op.kind = Kind::kAppend;
  op.entry = std::move(entry);
  return op;
}

Op Op::put(Snapshot snapshot) {
  Op op;
  op.kind = Kind::kSnapshot;
  op.snapshot = std::move(snapshot);
  return op;
}

Op Op::view(std::string state) {
  Op op;
  op.kind = Kind::kView;
  op.bytes = std::move(state);
  return op;
}

void apply_ops(Image& image, const std::vector<Op>& ops) {
  auto before = [](const LogEntry& e, std::uint64_t index) { return e.index < index; };
  for (const Op& op : ops) {
    switch (op.kind) {
      case Op::Kind::kMeta:
        image.meta = op.meta;
        break;
      case Op::Kind::kTerm:
        image.term = op.number;
        image.vote = 0;
        break;
      case Op::Kind::kVote:
        image.vote = op.number;
        break;
      case Op::Kind::kTruncate:
        image.log.erase(std::lower_bound(image.log.begin(), image.log.end(), op.number, before),
                        image.log.end());
        break;
      case Op::Kind::kAppend:
        image.log.push_back(op.entry);
        break;
      case Op::Kind::kSnapshot:
        image.snapshot = op.snapshot;
        break;
      case Op::Kind::kTrim:
        image.log.erase(image.log.begin(), std::lower_bound(image.log.begin(), image.log.end(),
                                                            op.number + 1, before));
        break;
      case Op::Kind::kView:
        image.view = op.bytes;
        break;
    }
  }
}

std::string image_error(const Image& image) {
  for (std::size_t i = 1; i < image.log.size(); ++i)
    if (image.log[i].index != image.log[i - 1].index + 1 ||
        image.log[i].term < image.log[i - 1].term)
      return "the log has a gap before entry " + std::to_string(image.log[i].index);
  std::uint64_t covered = image.snapshot ? image.snapshot->index : 0;
  if (!image.log.empty() && (image.log.front().index == 0 || image.log.front().index > covered + 1))
    return "the log begins after the end of its snapshot";
  if (image.meta.voter && image.meta.identity == 0) return "a voter without an identity";
  return "";
}

}  // namespace violetusher::ledger
