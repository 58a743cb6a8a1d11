#pragma once

#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrasspost::releasenote {

/** Returns the bucket of a name in a SpecTable; all processes agree on it. */
auto BucketOf(std::string_view aName) -> std::size_t;

/**
 * Hash table of specs by name with copy-on-write buckets. Copies share all
 * buckets that do not differ, so a change copies one bucket regardless of the
 * number of specs, and an old state stays readable next to the new one.
 */
template<typename Spec>
class SpecTable
{
public:
  static constexpr std::size_t kBucketCount = 1024;
  using Bucket = std::vector<Spec>;

  /** Iterates over all specs, not in the order of their names. */
  class Iterator
  {
  public:
    using iterator_category = std::forward_iterator_tag;
    using value_type = Spec;
    using difference_type = std::ptrdiff_t;
    using pointer = const Spec*;
    using reference = const Spec&;

    Iterator() = default;
    Iterator(const SpecTable* aTable, std::size_t aBucket)
      : mTable(aTable)
      , mBucket(aBucket)
    {
      SkipEmpty();
    }
    auto operator*() const -> const Spec&
    {
      return (*mTable->mBuckets[mBucket])[mIndex];
    }
    auto operator->() const -> const Spec* { return &**this; }
    auto operator++() -> Iterator&
    {
      ++mIndex;
      SkipEmpty();
      return *this;
    }
    auto operator++(int) -> Iterator
    {
      auto old = *this;
      ++*this;
      return old;
    }
    auto operator==(const Iterator&) const -> bool = default;

  private:
    auto SkipEmpty() -> void
    {
      while (mBucket < mTable->mBuckets.size() &&
             (!mTable->mBuckets[mBucket] ||
              mIndex >= mTable->mBuckets[mBucket]->size())) {
        ++mBucket;
        mIndex = 0;
      }
    }

    const SpecTable* mTable = nullptr;
    std::size_t mBucket = 0;
    std::size_t mIndex = 0;
  };

  SpecTable() = default;
  SpecTable(std::initializer_list<Spec> aSpecs)
  {
    for (const auto& it : aSpecs) {
      Put(it);
    }
  }

  auto begin() const -> Iterator { return { this, 0 }; }
  auto end() const -> Iterator { return { this, mBuckets.size() }; }
  auto size() const -> std::size_t { return mSize; }
  auto empty() const -> bool { return mSize == 0; }

  /** Returns null if no spec has the name. */
  auto Find(std::string_view aName) const -> const Spec*
  {
    const auto n = BucketOf(aName);
    if (n >= mBuckets.size() || !mBuckets[n]) {
      return nullptr;
    }
    for (const auto& it : *mBuckets[n]) {
      if (it.mName == aName) {
        return &it;
      }
    }
    return nullptr;
  }

  /** Adds a spec, or replaces the one with the same name. */
  auto Put(Spec aSpec) -> void
  {
    mBuckets.resize(kBucketCount);
    auto& bucket = mBuckets[BucketOf(aSpec.mName)];
    auto next =
      bucket ? std::make_shared<Bucket>(*bucket) : std::make_shared<Bucket>();
    auto isSame = [&](const Spec& aOld) { return aOld.mName == aSpec.mName; };
    mSize -= std::erase_if(*next, isSame);
    next->push_back(std::move(aSpec));
    ++mSize;
    bucket = std::move(next);
  }

  auto Erase(std::string_view aName) -> void
  {
    if (Find(aName) == nullptr) {
      return;
    }
    auto& bucket = mBuckets[BucketOf(aName)];
    auto next = std::make_shared<Bucket>(*bucket);
    std::erase_if(*next, [&](const Spec& aOld) { return aOld.mName == aName; });
    --mSize;
    bucket = std::move(next);
  }

  /** Returns the specs of one bucket, or null if it has never had any. */
  auto BucketAt(std::size_t aIndex) const -> const Bucket*
  {
    return aIndex < mBuckets.size() ? mBuckets[aIndex].get() : nullptr;
  }

private:
  std::vector<std::shared_ptr<const Bucket>> mBuckets;
  std::size_t mSize = 0;
};

} // namespace eelgrasspost::releasenote
