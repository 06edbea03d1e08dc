#include "sim/plaindisk.hpp"

namespace weldsail::sim {
namespace {

Records with(Records records, const Group& group) {
  for (const auto& [name, bytes] : group) {
    if (bytes.empty())
      records.erase(name);
    else
      records[name] = bytes;
  }
  return records;
}

}  // namespace

void PlainDisk::synced() {
  records_ = with(std::move(records_), in_doubt_.back());
  in_doubt_.clear();
}

std::string PlainDisk::read(const Records& image) {
  for (auto group = in_doubt_.rbegin(); group != in_doubt_.rend(); ++group) {
    if (image != with(records_, *group)) continue;
    records_ = image;
    in_doubt_.clear();
    return {};
  }
  in_doubt_.clear();
  return image == records_ ? std::string() : "what was synced doesn't read back";
}

bool ModelledDisk::start() {
  powered_ = true;
  file_.emplace(folder.operations(), rewrite_least_);
  std::error_code cause;
  try {
    cause = file_->open("sim");
  } catch (const PowerLost&) {
    powered_ = false;
    return false;
  }
  if (cause) {
    if (cause.category() == breakdown_category()) fault = "the disk doesn't start: " + cause.message();
    return false;
  }
  if (const auto wrong = plain_.read(file_->image()); fault.empty()) fault = wrong;
  return true;
}

bool ModelledDisk::append(const Group& group) {
  plain_.begin(group);
  const auto before = file_bytes();
  try {
    if (file_->append(group)) return false;
  } catch (const PowerLost&) {
    powered_ = false;
    return false;
  }
  if (file_bytes() < before) ++rewrites;
  plain_.synced();
  if (file_->image() != plain_.records() && fault.empty()) fault = "the image differs from what was synced";
  return true;
}

void ModelledDisk::lose_power() {
  file_.reset();
  folder.lose_power();
  folder.power_lost_at = folder.fails_at = 0;
}

void ModelledDisk::end_process() {
  file_.reset();
  folder.end_process();
}

Group random_group(Chance& chance, std::size_t bytes_most) {
  Group group;
  const auto records = 1 + chance.below(3);
  for (std::uint64_t place = 0; place < records; ++place) {
    const auto name = "name" + std::to_string(chance.below(5));
    const auto size = chance.happens(0.1) ? 0 : 1 + chance.below(bytes_most);
    group.emplace_back(name, std::string(size, static_cast<char>('a' + chance.below(26))));
  }
  return group;
}

}  // namespace weldsail::sim
