#pragma once
#include <cctype>
#include <string>
#include <utility>
#include <vector>

namespace weldsail {

/// What a plain reading makes of all the bytes that a worker has said on a connection since a request.
struct ReferenceResponse {
  enum class End { incomplete, whole, broken } end = End::incomplete;
  /// 0 while no final head has come.
  int status = 0;
  std::string body;
  /// Bytes after the whole answer.
  std::size_t surplus = 0;
  bool keep_alive = false;
};

/// A slow and plain reading of an answer: whole text at once, copies at each step, no library. It is written from the
/// rules in docs/safety/right-answer.md, apart from the code that it is compared with.
class ReferenceReader {
 public:
  ReferenceReader(std::string text, bool head_request) : text_(std::move(text)), head_request_(head_request) {}

  ReferenceResponse read() {
    result_.end = heads() ? rest() : result_.end;
    if (result_.end == ReferenceResponse::End::whole) result_.surplus = text_.size();
    return result_;
  }

 private:
  using End = ReferenceResponse::End;
  struct Line {
    End end;
    std::string text;
  };

  static std::string lower(std::string text) {
    for (auto& letter : text) letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return text;
  }
  static std::string strip(std::string text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.erase(0, 1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.pop_back();
    return text;
  }

  /// The next line; broken when a carriage return or a line feed stands alone, or it is longer than `most`.
  Line line(std::size_t most) {
    for (std::size_t place = 0; place < text_.size(); ++place) {
      if (text_[place] == '\n') return {End::broken, {}};
      if (text_[place] != '\r') continue;
      if (place + 1 == text_.size()) break;
      if (text_[place + 1] != '\n') return {End::broken, {}};
      if (place + 2 > most) return {End::broken, {}};
      const Line found{End::whole, text_.substr(0, place)};
      text_.erase(0, place + 2);
      return found;
    }
    return {text_.size() > most ? End::broken : End::incomplete, {}};
  }

  bool fail(End end) {
    result_.end = end;
    return false;
  }

  bool heads() {
    while (true) {
      const std::string begin = "HTTP/1.";
      if (text_.substr(0, begin.size()) != begin.substr(0, text_.size())) return fail(End::broken);
      lines_.clear();
      for (auto next = line(text_.size() + 2);; next = line(text_.size() + 2)) {
        if (next.end == End::broken) return fail(End::broken);
        if (next.end == End::incomplete) {
          const bool folded = !text_.empty() && (text_.front() == ' ' || text_.front() == '\t');
          return fail(folded ? End::broken : End::incomplete);
        }
        if (next.text.empty()) break;
        if (next.text.front() == ' ' || next.text.front() == '\t') return fail(End::broken);
        lines_.push_back(next.text);
      }
      if (!head()) return fail(End::broken);
      if (status_ < 200 && status_ != 101) continue;
      result_.status = status_;
      return status_ == 101 ? fail(End::broken) : true;
    }
  }

  bool head() {
    const auto& first = lines_.front();
    // "HTTP/1.x NNN", then nothing, or a blank and whatever the worker likes.
    if (first.size() < 12 || std::isdigit(first[7]) == 0 || first[8] != ' ') return false;
    for (std::size_t place = 9; place < 12; ++place)
      if (std::isdigit(static_cast<unsigned char>(first[place])) == 0) return false;
    if (first.size() > 12 && first[12] != ' ') return false;
    status_ = std::stoi(first.substr(9, 3));
    if (status_ < 100 || lines_.size() > 101) return false;
    result_.keep_alive = first[7] != '0';
    lengths_ = codings_ = 0;
    closes_ = false;
    for (std::size_t place = 1; place < lines_.size(); ++place)
      if (!header(lines_[place])) return false;
    return lengths_ + codings_ <= 1;
  }

  bool header(const std::string& text) {
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) return false;
    for (const auto letter : text.substr(0, colon))
      if (std::isalnum(static_cast<unsigned char>(letter)) == 0 &&
          std::string("!#$%&'*+-.^_`|~").find(letter) == std::string::npos)
        return false;
    for (const auto letter : text.substr(colon + 1)) {
      const auto value = static_cast<unsigned char>(letter);
      if ((value < 32 && value != '\t') || value == 127) return false;
    }
    // Blanks may follow a length, tabs may not.
    if (lower(text.substr(0, colon)) == "content-length" && text.back() == '\t') return false;
    return meaning(lower(text.substr(0, colon)), strip(text.substr(colon + 1)));
  }

  bool meaning(const std::string& name, const std::string& value) {
    if (name == "content-length") {
      ++lengths_;
      if (value.empty() || value.size() > 18) return false;
      for (const auto letter : value)
        if (letter < '0' || letter > '9') return false;
      length_ = std::stoull(value);
    }
    if (name == "transfer-encoding") {
      ++codings_;
      return lower(value) == "chunked";
    }
    if (name == "connection") {
      const auto list = "," + lower(value) + ",";
      closes_ = closes_ || has(list, "close");
      result_.keep_alive = !closes_ && has(list, "keep-alive");
    }
    return true;
  }

  static bool has(const std::string& list, const std::string& token) {
    for (std::size_t begin = 1, end = 0; (end = list.find(',', begin)) != std::string::npos; begin = end + 1)
      if (strip(list.substr(begin, end - begin)) == token) return true;
    return false;
  }

  End rest() {
    if (head_request_ || status_ == 204 || status_ == 304) return End::whole;
    if (codings_ > 0) return chunks();
    if (lengths_ == 0) {
      result_.body = std::exchange(text_, {});
      return End::incomplete;
    }
    result_.body = text_.substr(0, length_);
    text_.erase(0, result_.body.size());
    return result_.body.size() == length_ ? End::whole : End::incomplete;
  }

  End chunks() {
    while (true) {
      const auto size_line = line(4096);
      if (size_line.end != End::whole) return size_line.end;
      std::size_t digits = 0;
      while (digits < size_line.text.size() && std::isxdigit(static_cast<unsigned char>(size_line.text[digits])) != 0)
        ++digits;
      const auto after = strip(size_line.text.substr(digits));
      if (digits == 0 || digits > 8) return End::broken;
      if (after.empty() ? digits != size_line.text.size() : after.front() != ';') return End::broken;
      const auto size = std::stoull(size_line.text.substr(0, digits), nullptr, 16);
      if (size == 0) return trailers();
      const auto part = text_.substr(0, size);
      result_.body += part;
      text_.erase(0, part.size());
      if (part.size() < size) return End::incomplete;
      if (text_.substr(0, 2) != std::string("\r\n").substr(0, text_.size())) return End::broken;
      if (text_.size() < 2) return End::incomplete;
      text_.erase(0, 2);
    }
  }

  End trailers() {
    while (true) {
      const auto next = line(4096);
      if (next.end != End::whole || next.text.empty()) return next.end;
    }
  }

  std::string text_;
  bool head_request_;
  std::vector<std::string> lines_;
  int status_ = 0;
  std::size_t lengths_ = 0;
  std::size_t codings_ = 0;
  bool closes_ = false;
  unsigned long long length_ = 0;
  ReferenceResponse result_;
};

}  // namespace weldsail
