#pragma once

#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace eelgrasspost::net {

/** Reads from bytes that it does not own. */
class ViewBuffer : public std::streambuf
{
public:
  explicit ViewBuffer(std::string_view aBytes)
  {
    auto* begin = const_cast<char*>(aBytes.data());
    setg(begin, begin, begin + aBytes.size());
  }
};

/** Encodes a message that has a cereal `serialize` member. */
template<typename T>
auto Encode(const T& aMessage) -> std::string
{
  std::ostringstream out;
  {
    auto archive = cereal::PortableBinaryOutputArchive(out);
    archive(aMessage);
  }
  return std::move(out).str();
}

/** Decodes a message; bytes that do not hold one give an error. */
template<typename T>
auto Decode(std::string_view aBytes) -> absl::StatusOr<T>
{
  try {
    auto buf = ViewBuffer(aBytes);
    std::istream in(&buf);
    auto archive = cereal::PortableBinaryInputArchive(in);
    T out;
    archive(out);
    return out;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
      std::string("the message cannot be decoded: ") + e.what());
  }
}

} // namespace eelgrasspost::net
