#include <catch2/catch.hpp>

#include <unistd.h>

#include <zlib.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "core/control.hpp"
#include "core/forwarding/attempt.hpp"
#include "core/forwarding/stream.hpp"
#include "core/overload/budget.hpp"
#include "shell/disk.hpp"

using namespace weldsail;

namespace {

struct Folder {
  Folder() {
    char name[] = "/tmp/weldsail-disk-XXXXXX";
    path = mkdtemp(name);
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() { std::filesystem::remove_all(path); }
  std::string state() const { return path + "/state"; }
  std::string path;
};

void write_some(const Folder& folder) {
  DiskFile file;
  REQUIRE_FALSE(file.open(folder.path));
  REQUIRE_FALSE(file.append({{"a", "1"}, {"b", "2"}}));
  REQUIRE_FALSE(file.append({{"a", "3"}, {"b", ""}}));
  REQUIRE_FALSE(file.append({{"c", "4"}}));
}

Records read_back(const Folder& folder) {
  DiskFile file;
  REQUIRE_FALSE(file.open(folder.path));
  return file.image();
}

}  // namespace

TEST_CASE("a disk reads back what was synced, and a torn tail is cut") {
  Folder folder;
  write_some(folder);
  CHECK(read_back(folder) == Records{{"a", "3"}, {"c", "4"}});
  const auto size = std::filesystem::file_size(folder.state());
  for (std::size_t lost = 1; lost < 20; ++lost) {
    Folder torn;
    std::filesystem::copy_file(folder.state(), torn.state());
    std::filesystem::resize_file(torn.state(), size - lost);
    CHECK(read_back(torn) == Records{{"a", "3"}});
    CHECK(read_back(torn) == Records{{"a", "3"}});
  }
  Folder zeros;
  std::filesystem::copy_file(folder.state(), zeros.state());
  std::filesystem::resize_file(zeros.state(), size + 100);
  CHECK(read_back(zeros) == Records{{"a", "3"}, {"c", "4"}});
}

TEST_CASE("a flipped bit before the tail refuses to start the disk") {
  Folder folder;
  write_some(folder);
  for (const std::streamoff place : {0, 5, 9, 16, 30}) {
    Folder flipped;
    std::filesystem::copy_file(folder.state(), flipped.state());
    std::fstream file(flipped.state(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(place);
    const char byte = static_cast<char>(file.get() ^ 4);
    file.seekp(place);
    file.put(byte);
    file.close();
    DiskFile disk;
    CHECK(disk.open(flipped.path) == make_error_code(Breakdown::disk_corrupt));
  }
}

TEST_CASE("a disk of a newer release is refused plainly, one of the former landing is read") {
  const Folder folder;
  write_some(folder);
  std::stringstream bytes;
  bytes << std::ifstream(folder.state(), std::ios::binary).rdbuf();
  auto newer = bytes.str();
  newer[3] = '2';
  const auto sum = static_cast<std::uint32_t>(crc32(0, reinterpret_cast<const Bytef*>(newer.data()), 12));
  std::memcpy(newer.data() + 12, &sum, sizeof(sum));
  std::ofstream(folder.state(), std::ios::binary) << newer;
  DiskFile file;
  CHECK(file.open(folder.path) == make_error_code(Breakdown::disk_newer));

  const Folder former;
  std::ifstream recorded(WELDSAIL_FORMER_STATE);
  std::string raw;
  for (std::string line; std::getline(recorded, line);)
    for (std::size_t place = 0; place + 1 < line.size(); place += 2)
      raw += static_cast<char>(std::stoi(line.substr(place, 2), nullptr, 16));
  std::ofstream(former.state(), std::ios::binary) << raw;
  const auto records = read_back(former);
  auto state = make_control({});
  reduce(state, Started{1, records}, 1000);
  CHECK(state.formation.phase == CorePhase::formed);
  CHECK(state.document_version == 1);
  CHECK(state.acceptor.copies.at(config_key).version == 1);
}

TEST_CASE("a long file is rewritten, an interrupted rewrite is harmless, a folder has one user") {
  Folder folder;
  {
    DiskFile file;
    REQUIRE_FALSE(file.open(folder.path));
    for (int turn = 0; turn < 300; ++turn)
      REQUIRE_FALSE(file.append({{"big", std::string(10000, static_cast<char>('a' + turn % 26))}}));
    CHECK(std::filesystem::file_size(folder.state()) < 1100000);
    DiskFile second;
    CHECK(second.open(folder.path));
  }
  std::ofstream(folder.path + "/state.new") << "half a rewrite";
  const auto image = read_back(folder);
  CHECK(image.at("big") == std::string(10000, static_cast<char>('a' + 299 % 26)));
}

TEST_CASE("the next move follows from the ledger") {
  Ledger call;
  call.kind = RouteKind::call;
  call.due = call.hold_due = 1000;
  CHECK(ledger_next(call, false, 0) == Move::assign);
  CHECK(ledger_next(call, false, 1000) == Move::give_up_not_run);
  ledger_begin(call, "w1", 1, 0);
  CHECK(ledger_next(call, true, 1) == Move::wait);
  CHECK(ledger_next(call, true, 1000) == Move::give_up_unknown);
  ledger_end(call, AttemptPhase::refused, "");
  CHECK(ledger_next(call, true, 1) == Move::assign);
  CHECK(ledger_next(call, false, 1) == Move::give_up_not_run);
  ledger_begin(call, "w2", 2, 1);
  ledger_end(call, AttemptPhase::broken, "");
  CHECK(ledger_next(call, true, 2) == Move::give_up_unknown);
  Ledger stream;
  stream.due = stream.hold_due = 1000;
  ledger_begin(stream, "w1", 1, 0);
  ledger_end(stream, AttemptPhase::broken, "");
  CHECK(ledger_next(stream, true, 1) == Move::give_up_unknown);
  stream.answer_begun = true;
  CHECK(ledger_next(stream, true, 1) == Move::end_in_error);
  stream.resumable = true;
  CHECK(ledger_next(stream, true, 1) == Move::assign);
  CHECK(ledger_next(stream, false, 1) == Move::end_in_error);
}

TEST_CASE("retries are a fifth of first tries") {
  Budget budget;
  int retries = 0;
  for (int turn = 0; turn < 1000; ++turn) {
    budget_earn(budget);
    if (!budget_allows(budget)) continue;
    budget_spend(budget);
    ++retries;
  }
  CHECK(retries <= 200);
  CHECK(retries >= 199);
}

TEST_CASE("a stream's reader takes whole pieces in order and nothing else") {
  const auto piece = [](const std::string& run, int number) {
    return "data: {\"run\":\"" + run + "\",\"piece\":" + std::to_string(number) + ",\"text\":\"x\"}\n\n";
  };
  const auto signs = [](const std::string& bytes, std::size_t step) {
    StreamReader reader{"r", 0, {}, false};
    std::string result;
    for (std::size_t begin = 0; begin < bytes.size(); begin += step)
      for (const auto& event : stream_feed(reader, bytes.substr(begin, step)))
        result += event.sign == StreamSign::piece ? 'p' : event.sign == StreamSign::final_piece ? 'f' : 'b';
    return result;
  };
  const std::string two = piece("r", 0) + piece("r", 1);
  for (const std::size_t step : {1, 7, 1000}) {
    CHECK(signs(two + "data: {\"run\":\"r\",\"final\":true,\"pieces\":2}\n\n" + piece("r", 2), step) == "ppf");
    CHECK(signs(two + "data: {\"run\":\"r\",\"final\":true,\"pieces\":3}\n\n", step) == "ppb");
    CHECK(signs(two + piece("r", 3), step) == "ppb");
    CHECK(signs(two + piece("r", 1), step) == "ppb");
    CHECK(signs(two + piece("other", 2), step) == "ppb");
    CHECK(signs(two + "nonsense\n\n", step) == "ppb");
    CHECK(signs(two + "data: {\"run\":\"r\"", step) == "pp");
  }
}

TEST_CASE("a wrong document is refused whole with every fault named") {
  const auto pointers = [](const std::string& document) {
    std::string result;
    for (const auto& fault : read_config(document).faults) result += fault.pointer + " ";
    return result;
  };
  CHECK(pointers("{") == " ");
  CHECK(pointers("{}") == "/cells ");
  CHECK(pointers(R"({"cells":{},"models":{"m":{"weights_mb":0}},"store":{"loads_per_s":0},"other":1})") ==
        "/other /store/loads_per_s /models/m/weights_mb ");
  CHECK(pointers(R"({"cells":{"a":{"services":{"s":{"kind":"model"}}},"b":{"services":{"s":{"kind":"model"}}}}})") ==
        "/cells/b/services/s ");
  CHECK(pointers(R"({"cells":{"a":{"tenants":{"t":{}}},"b":{"tenants":{"t":{}}}}})") == "/cells/b/tenants/t ");
  CHECK(pointers(R"({"cells":{"a":{"tenants":{"t":{"routes":{"r":{"kind":"call","service":"x"},"r":{"kind":"y"}}}}}}})")
            .find("/cells/a/tenants/t/routes/r ") == 0);
  CHECK(pointers(
            R"({"cells":{},"models":{"m":{"weights_mb":1,"prefill":{"min":3,"max":3},"decode":{"min":1,"max":1}}}})") ==
        "/models/m ");
  CHECK(pointers(R"({"cells":{},"scaler":{"ratio_min":0.3333333}})") == "/scaler/ratio_min ");
  const auto changed = change_config(R"({"cells":{"a":{}}})", R"({"set":{"/cells/b":{}},"remove":["/cells/a"]})");
  REQUIRE(changed.has_value());
  CHECK(*changed == R"({"cells":{"b":{}}})");
  CHECK_FALSE(change_config(R"({"cells":{}})", R"({"remove":["/cells/a"]})").has_value());
}
