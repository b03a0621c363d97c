#include <hemlocknotch/core/account_key.hpp>

#include <xxhash.h>

namespace hemlocknotch {

account_key account_key::of(std::string_view name)
{
    constexpr XXH32_hash_t seed = 0;
    return account_key{XXH32(name.data(), name.size(), seed)};
}

} // namespace hemlocknotch
