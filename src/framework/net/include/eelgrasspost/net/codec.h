#pragma once

#include <bit>
#include <cstring>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include <absl/status/statusor.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace eelgrasspost::net {

static_assert(std::endian::native == std::endian::little,
              "messages are encoded in little-endian byte order");

/**
 * Reads the output of cereal's portable binary archive. A length that exceeds
 * the remaining bytes is an error, detected before memory is allocated for it.
 */
class BoundedInputArchive
  : public cereal::InputArchive<BoundedInputArchive,
                                cereal::AllowEmptyClassElision>
{
public:
  explicit BoundedInputArchive(std::string_view aBytes)
    : InputArchive(this)
    , mRemaining(aBytes)
  {
    std::uint8_t isLittleEndian = 0;
    LoadBytes(&isLittleEndian, sizeof(isLittleEndian));
    if (isLittleEndian != 1) {
      throw cereal::Exception("the byte order is not little-endian");
    }
  }

  auto LoadBytes(void* aOut, std::size_t aCount) -> void
  {
    if (aCount > mRemaining.size()) {
      throw cereal::Exception("the message is truncated");
    }
    if (aCount > 0) {
      std::memcpy(aOut, mRemaining.data(), aCount);
    }
    mRemaining.remove_prefix(aCount);
  }
  /** Checks the number of elements; each takes at least one byte. */
  auto CheckCount(cereal::size_type aCount) const -> void
  {
    if (aCount > mRemaining.size()) {
      throw cereal::Exception("a length is greater than the message");
    }
  }

private:
  std::string_view mRemaining;
};

} // namespace eelgrasspost::net

/** cereal looks up the output archive to find out how enumerations are saved.
 */
template<>
struct cereal::traits::detail::get_output_from_input<
  eelgrasspost::net::BoundedInputArchive>
{
  using type = cereal::PortableBinaryOutputArchive;
};

namespace eelgrasspost::net {

template<typename T>
auto load(BoundedInputArchive& archive, T& aValue)
  -> std::enable_if_t<std::is_arithmetic_v<T>>
{
  archive.LoadBytes(&aValue, sizeof(aValue));
}

template<typename T>
auto load(BoundedInputArchive& archive, cereal::BinaryData<T>& aData) -> void
{
  archive.LoadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

template<typename T>
auto load(BoundedInputArchive& archive, cereal::NameValuePair<T>& aPair) -> void
{
  archive(aPair.value);
}

template<typename T>
auto load(BoundedInputArchive& archive, cereal::SizeTag<T>& aTag) -> void
{
  archive(aTag.size);
  archive.CheckCount(aTag.size);
}

/** Grows a vector as its elements are read, as the encoded length is not
 * trusted. */
template<typename T, typename A>
auto load(BoundedInputArchive& archive, std::vector<T, A>& aVector)
  -> std::enable_if_t<!std::is_arithmetic_v<T>>
{
  cereal::size_type n = 0;
  archive(cereal::make_size_tag(n));
  aVector.clear();
  for (cereal::size_type i = 0; i < n; ++i) {
    archive(aVector.emplace_back());
  }
}

/** Encodes a message that has a `serialize` member for cereal. */
template<typename T>
auto Encode(const T& aMessage) -> std::string
{
  std::ostringstream out;
  {
    auto archive = cereal::PortableBinaryOutputArchive(
      out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(aMessage);
  }
  return std::move(out).str();
}

/** Decodes a message; returns an error if the bytes are malformed. */
template<typename T>
auto Decode(std::string_view aBytes) -> absl::StatusOr<T>
{
  try {
    auto archive = BoundedInputArchive(aBytes);
    T out;
    archive(out);
    return out;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(
      std::string("the message cannot be decoded: ") + e.what());
  }
}

} // namespace eelgrasspost::net
