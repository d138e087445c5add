package fawndock.counter;

/** Patterns of names: * ? [a-z] [^a-z] and \ before a character that stands for itself. */
final class GlobPattern {
  private GlobPattern() {}

  /** Whether the whole name is of the pattern; takes at most the product of their lengths. */
  static boolean matches(byte[] pattern, byte[] name) {
    int p = 0;
    int n = 0;
    int star = -1;
    int retry = 0;
    while (n < name.length) {
      int next = p < pattern.length && pattern[p] != '*' ? one(pattern, p, name[n]) : -1;
      if (next >= 0) {
        p = next;
        n++;
      } else if (p < pattern.length && pattern[p] == '*') {
        star = p++;
        retry = n;
      } else if (star >= 0) {
        p = star + 1;
        n = ++retry;
      } else {
        return false;
      }
    }
    while (p < pattern.length && pattern[p] == '*') {
      p++;
    }
    return p == pattern.length;
  }

  /** The place after the element at a place when it is of the character, or -1. */
  private static int one(byte[] pattern, int at, byte c) {
    return switch (pattern[at]) {
      case '?' -> at + 1;
      case '\\' -> {
        int literal = at + 1 < pattern.length ? at + 1 : at;
        yield pattern[literal] == c ? literal + 1 : -1;
      }
      case '[' -> set(pattern, at + 1, c & 0xFF);
      default -> pattern[at] == c ? at + 1 : -1;
    };
  }

  private static int set(byte[] pattern, int from, int c) {
    int at = from;
    boolean not = at < pattern.length && pattern[at] == '^';
    at += not ? 1 : 0;
    boolean in = false;
    for (; at < pattern.length && pattern[at] != ']'; at++) {
      if (pattern[at] == '\\' && at + 1 < pattern.length) {
        at++;
      }
      int low = pattern[at] & 0xFF;
      int high = low;
      if (at + 2 < pattern.length && pattern[at + 1] == '-' && pattern[at + 2] != ']') {
        high = pattern[at + 2] & 0xFF;
        at += 2;
      }
      in |= c >= Math.min(low, high) && c <= Math.max(low, high);
    }
    return in != not ? Math.min(at + 1, pattern.length) : -1;
  }
}
