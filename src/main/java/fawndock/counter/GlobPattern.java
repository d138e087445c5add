package fawndock.counter;

/**
 * Matches names against glob patterns: * ? [a-z] [^a-z], and \ before a literal character.
 * Stateless.
 */
final class GlobPattern {
  private GlobPattern() {}

  /**
   * Returns whether the pattern matches the whole name. The time is at most proportional to the
   * product of the lengths.
   */
  static boolean matches(byte[] pattern, byte[] name) {
    int patternIndex = 0;
    int nameIndex = 0;
    int lastStarIndex = -1;
    int retryNameIndex = 0;
    while (nameIndex < name.length) {
      int nextPatternIndex =
          patternIndex < pattern.length && pattern[patternIndex] != '*'
              ? matchElement(pattern, patternIndex, name[nameIndex])
              : -1;
      if (nextPatternIndex >= 0) {
        patternIndex = nextPatternIndex;
        nameIndex++;
      } else if (patternIndex < pattern.length && pattern[patternIndex] == '*') {
        lastStarIndex = patternIndex++;
        retryNameIndex = nameIndex;
      } else if (lastStarIndex >= 0) {
        patternIndex = lastStarIndex + 1;
        nameIndex = ++retryNameIndex;
      } else {
        return false;
      }
    }
    while (patternIndex < pattern.length && pattern[patternIndex] == '*') {
      patternIndex++;
    }
    return patternIndex == pattern.length;
  }

  /**
   * Returns the index after the pattern element at the index if that element matches the character,
   * or else -1.
   */
  private static int matchElement(byte[] pattern, int index, byte character) {
    return switch (pattern[index]) {
      case '?' -> index + 1;
      case '\\' -> {
        int literal = index + 1 < pattern.length ? index + 1 : index;
        yield pattern[literal] == character ? literal + 1 : -1;
      }
      case '[' -> matchCharacterClass(pattern, index + 1, character & 0xFF);
      default -> pattern[index] == character ? index + 1 : -1;
    };
  }

  private static int matchCharacterClass(byte[] pattern, int start, int character) {
    int index = start;
    boolean isNegated = index < pattern.length && pattern[index] == '^';
    index += isNegated ? 1 : 0;
    boolean isInClass = false;
    for (; index < pattern.length && pattern[index] != ']'; index++) {
      if (pattern[index] == '\\' && index + 1 < pattern.length) {
        index++;
      }
      int low = pattern[index] & 0xFF;
      int high = low;
      if (index + 2 < pattern.length && pattern[index + 1] == '-' && pattern[index + 2] != ']') {
        high = pattern[index + 2] & 0xFF;
        index += 2;
      }
      isInClass |= character >= Math.min(low, high) && character <= Math.max(low, high);
    }
    return isInClass != isNegated ? Math.min(index + 1, pattern.length) : -1;
  }
}
