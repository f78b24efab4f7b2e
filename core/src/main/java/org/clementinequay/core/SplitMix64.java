package org.clementinequay.core;

/**
 * Finalizer of SplitMix64 (Steele, Lea, Flood, 2014), which mixes the bits of a number. Every host
 * computes the same value. It takes a few instructions, unlike the digest of {@link
 * org.clementinequay.core.membership.RendezvousHash}, and is therefore used on the request path.
 */
public final class SplitMix64 {
  private SplitMix64() {}

  /** Returns a number in which every bit depends on all bits of the argument. */
  public static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
