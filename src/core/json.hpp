#pragma once
#include <rapidjson/document.h>
#include <rapidjson/pointer.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

namespace weldsail {

/// How text from outside is read: without recursion, and only where all of it is UTF-8.
inline constexpr unsigned json_strict = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag;
/// The same, with numbers that are written again exactly as they were sent.
inline constexpr unsigned json_exact = json_strict | rapidjson::kParseFullPrecisionFlag;

/// Text of a JSON value.
inline std::string json_text(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

/// Text of a JSON value that is a string.
inline std::string json_string(const rapidjson::Value& value) { return {value.GetString(), value.GetStringLength()}; }

/// String at a pointer, or the fallback.
inline std::string json_string_at(const rapidjson::Value& value, const char* pointer, std::string fallback = {}) {
  const auto* found = rapidjson::Pointer(pointer).Get(value);
  return found != nullptr && found->IsString() ? json_string(*found) : std::move(fallback);
}

/// Number at a pointer, or the fallback.
inline double json_number_at(const rapidjson::Value& value, const char* pointer, double fallback = 0) {
  const auto* found = rapidjson::Pointer(pointer).Get(value);
  return found != nullptr && found->IsNumber() ? found->GetDouble() : fallback;
}

/// A count at a pointer: whole, not negative, bounded.
inline std::uint64_t json_count_at(const rapidjson::Value& value, const char* pointer, std::uint64_t fallback = 0) {
  const auto number = json_number_at(value, pointer, static_cast<double>(fallback));
  return number > 0 ? static_cast<std::uint64_t>(number < 1e15 ? number : 1e15) : 0;
}

/// Truth value at a pointer, or the fallback.
inline bool json_bool_at(const rapidjson::Value& value, const char* pointer, bool fallback = false) {
  const auto* found = rapidjson::Pointer(pointer).Get(value);
  return found != nullptr && found->IsBool() ? found->GetBool() : fallback;
}

/// A name as one step of a JSON pointer.
inline std::string pointer_step(const std::string& name) {
  std::string step;
  for (const char letter : name) {
    if (letter == '~')
      step += "~0";
    else if (letter == '/')
      step += "~1";
    else
      step += letter;
  }
  return step;
}

/// True for a name that may stand in messages between processes: printable ASCII, not too long.
inline bool plain_text(const std::string& text, std::size_t most = 256) {
  if (text.size() > most) return false;
  for (const char letter : text)
    if (letter < 0x20 || letter > 0x7e) return false;
  return true;
}

/// A writer of one JSON text, for answers.
class JsonText {
 public:
  rapidjson::Writer<rapidjson::StringBuffer>& out() { return writer_; }
  JsonText& field(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }
  JsonText& number(const char* name, std::uint64_t value) {
    writer_.Key(name);
    writer_.Uint64(value);
    return *this;
  }
  JsonText& truth(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
    return *this;
  }
  JsonText& key(const char* name) {
    writer_.Key(name);
    return *this;
  }
  JsonText& item(const std::string& value) {
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }
  JsonText& object() {
    writer_.StartObject();
    return *this;
  }
  JsonText& close() {
    writer_.EndObject();
    return *this;
  }
  JsonText& array() {
    writer_.StartArray();
    return *this;
  }
  JsonText& end() {
    writer_.EndArray();
    return *this;
  }
  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace weldsail
