#include <atomic>
#include <filesystem>
#include <future>

#include "sim/plaindisk.hpp"
#include "unit/checks.hpp"

using namespace weldsail;
using namespace weldsail::sim;

namespace {

constexpr std::size_t large = 900;
constexpr std::size_t sector = 512;
const std::string state_path = "sim/state";
const std::string rewrite_path = "sim/state.new";

Group one(const std::string& name, std::size_t bytes, char filling = 'x') {
  return {{name, std::string(bytes, filling)}};
}

/// Five large records, each written three times: not yet enough for a rewrite.
void fill(ModelledDisk& disk) {
  REQUIRE(disk.start());
  for (int number = 0; number < 15; ++number) REQUIRE(disk.append(one("name" + std::to_string(number % 5), large)));
  REQUIRE(disk.rewrites == 0);
}

/// The code that a start on the bytes gives, and whether the records are the ones expected.
std::error_code start_on(const std::string& bytes, const Records& expected, bool& same) {
  SimFolder folder(1);
  folder.set_content(state_path, bytes);
  DiskFile file(folder.operations());
  const auto cause = file.open("sim");
  same = file.image() == expected;
  return cause;
}

struct Temporary {
  Temporary() {
    char name[] = "/tmp/weldsail-long-history-XXXXXX";
    path = mkdtemp(name);
  }
  Temporary(const Temporary&) = delete;
  Temporary& operator=(const Temporary&) = delete;
  ~Temporary() { std::filesystem::remove_all(path); }
  std::string path;
};

}  // namespace

TEST_CASE("a disk that was full takes records again once there is room for them alone", "[hardening.long_history]") {
  ModelledDisk disk(1);
  fill(disk);
  disk.folder.room = disk.folder.bytes() + large / 2;
  for (int turn = 0; turn < 3; ++turn) CHECK_FALSE(disk.append(one("name1", large, 'y')));
  disk.folder.room = disk.file_bytes() + 2 * large;
  CHECK(disk.append(one("name1", large, 'z')));
  disk.lose_power();
  CHECK(disk.start());
  CHECK(disk.fault == "");
}

TEST_CASE("a file that can't be rewritten for want of room grows on, and is rewritten when there is room",
          "[hardening.long_history]") {
  ModelledDisk disk(2);
  fill(disk);
  disk.folder.room = disk.folder.bytes() + 9 * large - large / 2;
  for (int number = 0; number < 8; ++number) CHECK(disk.append(one("name" + std::to_string(number % 5), large, 'y')));
  CHECK(disk.rewrites == 0);
  disk.folder.room = SIZE_MAX;
  for (int number = 0; number < 12; ++number) CHECK(disk.append(one("name" + std::to_string(number % 5), large, 'z')));
  CHECK(disk.rewrites == 1);
  disk.lose_power();
  CHECK(disk.start());
  CHECK(disk.fault == "");
}

TEST_CASE("a disk that refused every write goes on as soon as it takes them", "[hardening.long_history]") {
  ModelledDisk disk(3);
  fill(disk);
  disk.folder.refuses = true;
  for (int turn = 0; turn < 50; ++turn) CHECK_FALSE(disk.append(one("name1", 100, 'y')));
  disk.folder.refuses = false;
  CHECK(disk.append(one("name2", 100, 'z')));
  disk.lose_power();
  CHECK(disk.start());
  CHECK(disk.fault == "");
}

TEST_CASE("what a rewrite that was broken off has left takes no room after a start", "[hardening.long_history]") {
  ModelledDisk disk(4);
  disk.folder.set_content(rewrite_path, std::string(large, 'x'));
  CHECK(disk.start());
  CHECK_FALSE(disk.folder.has(rewrite_path));
}

TEST_CASE("the file stays within four times its live content, or a mebibyte", "[hardening.long_history]") {
  for (const std::size_t bytes : {1000, 20000, 200000}) {
    ModelledDisk disk(5, least_rewritten);
    REQUIRE(disk.start());
    const auto live = 3 * (bytes + 20);
    const auto most = std::max<std::size_t>(1U << 20U, 4 * live);
    std::size_t largest = 0;
    for (int number = 0; number < 700; ++number) {
      REQUIRE(disk.append(one("name" + std::to_string(number % 3), bytes)));
      largest = std::max(largest, disk.folder.bytes());
    }
    CHECK(largest <= most);
  }
}

TEST_CASE("a sector lost from the last frame's header is a torn tail, one lost before it is damage",
          "[hardening.long_history]") {
  for (std::size_t shift = 0; shift < 2 * sector; shift += 7) {
    ModelledDisk disk(6);
    REQUIRE(disk.start());
    REQUIRE(disk.append(one("first", 500 + shift, 'a')));
    const auto last = disk.file_bytes();
    REQUIRE(disk.append(one("second", 3000, 'b')));
    auto bytes = disk.folder.content(state_path);
    const auto boundary = (last / sector + 1) * sector;
    std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(last), bytes.begin() + static_cast<std::ptrdiff_t>(boundary),
              '\0');
    bool same = false;
    INFO("header at " << last);
    CHECK_FALSE(start_on(bytes, {{"first", std::string(500 + shift, 'a')}}, same));
    CHECK(same);
    REQUIRE(disk.append(one("third", 10, 'c')));
    bytes += disk.folder.content(state_path).substr(bytes.size());
    CHECK(start_on(bytes, {}, same) == make_error_code(Breakdown::disk_corrupt));
  }
}

TEST_CASE("any bit flipped before the last frame refuses to start the disk", "[hardening.long_history]") {
  ModelledDisk disk(7);
  REQUIRE(disk.start());
  REQUIRE(disk.append(one("first", 40, 'a')));
  REQUIRE(disk.append(one("second", 30, 'b')));
  const auto last = disk.file_bytes();
  REQUIRE(disk.append(one("third", 20, 'c')));
  const auto whole = disk.folder.content(state_path);
  for (std::size_t place = 0; place < last; ++place)
    for (unsigned bit = 0; bit < 8; ++bit) {
      auto bytes = whole;
      bytes[place] = static_cast<char>(static_cast<unsigned char>(bytes[place]) ^ (1U << bit));
      bool same = false;
      INFO("bit " << bit << " of byte " << place);
      REQUIRE(start_on(bytes, {}, same) == make_error_code(Breakdown::disk_corrupt));
    }
}

TEST_CASE("a folder that a disk makes outlives a loss of power", "[hardening.long_history]") {
  const Temporary parent;
  std::vector<std::string> synced;
  auto files = system_file_operations();
  files.sync_folder = [&, sync = files.sync_folder](const std::string& folder) {
    synced.push_back(folder);
    return sync(folder);
  };
  DiskFile file(files);
  REQUIRE_FALSE(file.open(parent.path + "/made"));
  CHECK(synced == std::vector<std::string>{parent.path, parent.path + "/made"});
}

TEST_CASE("while a disk hangs only the newest record of each name waits, and is written once",
          "[hardening.long_history]") {
  constexpr std::uint64_t handed = 2000;
  constexpr std::size_t record_bytes = 10000;
  const Temporary folder;
  std::promise<void> hang;
  const auto over = hang.get_future().share();
  std::atomic<std::size_t> written = 0;
  auto files = system_file_operations();
  files.write = [&, write = files.write](int descriptor, const char* bytes, std::size_t size) {
    written += size;
    over.wait();
    return write(descriptor, bytes, size);
  };
  Loop loop;
  Disk disk(loop, folder.path, files);
  REQUIRE(disk.start());
  std::uint64_t kept = 0;
  disk.persisted.connect([&](const Persisted& event) { kept += event.kept ? 1 : 0; });
  for (std::uint64_t token = 1; token <= handed; ++token)
    disk.persist({token, one("name" + std::to_string(token % 3), record_bytes, static_cast<char>('a' + token % 26))});
  CHECK(disk.waiting_bytes() <= 4 * record_bytes);
  hang.set_value();
  for (int turn = 0; turn < 1000 && kept < handed; ++turn) loop.step(100);
  CHECK(kept == handed);
  CHECK(written <= 5 * record_bytes);
}
