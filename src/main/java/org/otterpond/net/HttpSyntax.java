package org.otterpond.net;

/** Elements of the grammar of HTTP (RFC 9110, 5.6; RFC 9112, 6.2). */
final class HttpSyntax {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
  private static final int MAX_LENGTH_DIGITS = 18;

  private HttpSyntax() {}

  /** Whether a text is a token, as methods and field names are. */
  static boolean isToken(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (!isTokenChar(text.charAt(i))) {
        return false;
      }
    }
    return !text.isEmpty();
  }

  private static boolean isTokenChar(char c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || isDigit(c)
        || TOKEN_PUNCTUATION.indexOf(c) >= 0;
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }

  /** Returns the number of a Content-Length header. */
  static long contentLength(String value) throws MalformedMessageException {
    String digits = value.trim();
    boolean valid = !digits.isEmpty() && digits.length() <= MAX_LENGTH_DIGITS;
    for (int i = 0; valid && i < digits.length(); i++) {
      valid = isDigit(digits.charAt(i));
    }
    if (!valid) {
      throw new MalformedMessageException("bad Content-Length");
    }
    return Long.parseLong(digits);
  }
}
