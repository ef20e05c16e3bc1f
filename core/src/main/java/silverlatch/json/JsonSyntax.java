package silverlatch.json;

/**
 * Checks that bytes are exactly one JSON value (RFC 8259) and not nested too deeply. The parser behind {@link
 * JsonDocument} is more lenient than the standard and has no depth limit. Doesn't check that strings are valid UTF-8.
 */
final class JsonSyntax {
    /** Result of a check. */
    enum Result {
        /** Exactly one value, with optional white space around it. */
        VALID,
        /** Nested more deeply than allowed. What follows was not checked. */
        TOO_DEEP,
        /** Not exactly one value. */
        INVALID
    }

    private final byte[] body;
    private final int maxDepth;
    private int position;
    private boolean tooDeep;

    private JsonSyntax(final byte[] body, final int maxDepth) {
        this.body = body;
        this.maxDepth = maxDepth;
    }

    /** Checks bytes; {@code maxDepth} is the maximum nesting level of objects and arrays. */
    static Result check(final byte[] body, final int maxDepth) {
        final JsonSyntax syntax = new JsonSyntax(body, maxDepth);
        final boolean valid = syntax.value(0) && syntax.peek() < 0;
        if (syntax.tooDeep) {
            return Result.TOO_DEEP;
        }
        return valid ? Result.VALID : Result.INVALID;
    }

    private boolean value(final int level) {
        return switch (peek()) {
            case '{' -> container(level, '}', true);
            case '[' -> container(level, ']', false);
            case '"' -> string();
            case 't' -> literal("true");
            case 'f' -> literal("false");
            case 'n' -> literal("null");
            default -> number();
        };
    }

    private boolean container(final int level, final int closing, final boolean hasKeys) {
        if (level >= maxDepth) {
            tooDeep = true;
            return false;
        }
        position++;
        if (peek() == closing) {
            position++;
            return true;
        }
        while (!hasKeys || peek() == '"' && string() && consume(':')) {
            if (!value(level + 1)) {
                return false;
            }
            if (!consume(',')) {
                return consume(closing);
            }
        }
        return false;
    }

    private boolean string() {
        position++;
        while (position < body.length) {
            final int character = body[position++] & 0xff;
            if (character == '"') {
                return true;
            }
            if (character < ' ' || character == '\\' && !escape()) {
                return false;
            }
        }
        return false;
    }

    private boolean escape() {
        if (position >= body.length) {
            return false;
        }
        final int character = body[position++];
        if (character != 'u') {
            return "\"\\/bfnrt".indexOf(character) >= 0;
        }
        for (int i = 0; i < 4; i++) {
            if (position >= body.length || Character.digit(body[position++], 16) < 0) {
                return false;
            }
        }
        return true;
    }

    private boolean number() {
        position += current() == '-' ? 1 : 0;
        final boolean leadingZero = current() == '0';
        final int integerDigits = digits();
        boolean valid = integerDigits == 1 || integerDigits > 1 && !leadingZero;
        if (current() == '.') {
            position++;
            valid &= digits() > 0;
        }
        if (current() == 'e' || current() == 'E') {
            position++;
            position += current() == '+' || current() == '-' ? 1 : 0;
            valid &= digits() > 0;
        }
        return valid;
    }

    private int digits() {
        final int start = position;
        while (current() >= '0' && current() <= '9') {
            position++;
        }
        return position - start;
    }

    private boolean literal(final String expected) {
        for (int i = 0; i < expected.length(); i++) {
            if (current() != expected.charAt(i)) {
                return false;
            }
            position++;
        }
        return true;
    }

    private boolean consume(final int expected) {
        final boolean matches = peek() == expected;
        position += matches ? 1 : 0;
        return matches;
    }

    /** Skips white space and returns the next byte without consuming it; -1 at the end. */
    private int peek() {
        while (current() == ' ' || current() == '\t' || current() == '\n' || current() == '\r') {
            position++;
        }
        return current();
    }

    private int current() {
        return position < body.length ? body[position] & 0xff : -1;
    }
}
