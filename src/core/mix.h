#ifndef WC_CORE_MIX_H
#define WC_CORE_MIX_H

#include <stdint.h>

/** wc_mix64() - SplitMix64 hash: a bijection in which every output bit depends on every input bit. */
static inline uint64_t
wc_mix64 (uint64_t value)
{
  value += 0x9e3779b97f4a7c15u;
  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9u;
  value = (value ^ value >> 27) * 0x94d049bb133111ebu;
  return value ^ value >> 31;
}

#endif
