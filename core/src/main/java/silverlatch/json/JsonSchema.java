package silverlatch.json;

/** Whether bytes are one whole JSON value (RFC 8259) that isn't too deep; what their texts hold is not looked at. */
final class JsonSchema {
    /** What was found. */
    enum Found {
        WHOLE,
        DEEP,
        BROKEN
    }

    private final byte[] body;
    private final int most;
    private int at;
    private boolean deep;

    private JsonSchema(final byte[] body, final int most) {
        this.body = body;
        this.most = most;
    }

    /** Looks at bytes; so many levels are not too deep. */
    static Found of(final byte[] body, final int most) {
        final JsonSchema s = new JsonSchema(body, most);
        final boolean good = s.value(0) && s.peek() < 0;
        return s.deep ? Found.DEEP : good ? Found.WHOLE : Found.BROKEN;
    }

    private boolean value(final int level) {
        return switch (peek()) {
            case '{' -> list(level, '}', true);
            case '[' -> list(level, ']', false);
            case '"' -> text();
            case 't' -> word("true");
            case 'f' -> word("false");
            case 'n' -> word("null");
            default -> number();
        };
    }

    private boolean list(final int level, final int end, final boolean keys) {
        if (level >= most) {
            deep = true;
            return false;
        }
        at++;
        if (peek() == end) {
            at++;
            return true;
        }
        while (!keys || peek() == '"' && text() && take(':')) {
            if (!value(level + 1)) {
                return false;
            }
            if (!take(',')) {
                return take(end);
            }
        }
        return false;
    }

    private boolean text() {
        at++;
        while (at < body.length) {
            final int b = body[at++] & 0xff;
            if (b == '"') {
                return true;
            }
            if (b < ' ' || b == '\\' && !escape()) {
                return false;
            }
        }
        return false;
    }

    private boolean escape() {
        if (at >= body.length) {
            return false;
        }
        final int b = body[at++];
        if (b != 'u') {
            return "\"\\/bfnrt".indexOf(b) >= 0;
        }
        for (int i = 0; i < 4; i++) {
            if (at >= body.length || Character.digit(body[at++], 16) < 0) {
                return false;
            }
        }
        return true;
    }

    private boolean number() {
        at += now() == '-' ? 1 : 0;
        final boolean zero = now() == '0';
        final int whole = digits();
        boolean good = whole == 1 || whole > 1 && !zero;
        if (now() == '.') {
            at++;
            good &= digits() > 0;
        }
        if (now() == 'e' || now() == 'E') {
            at++;
            at += now() == '+' || now() == '-' ? 1 : 0;
            good &= digits() > 0;
        }
        return good;
    }

    private int digits() {
        final int from = at;
        while (now() >= '0' && now() <= '9') {
            at++;
        }
        return at - from;
    }

    private boolean word(final String word) {
        for (int i = 0; i < word.length(); i++) {
            if (now() != word.charAt(i)) {
                return false;
            }
            at++;
        }
        return true;
    }

    private boolean take(final int b) {
        final boolean good = peek() == b;
        at += good ? 1 : 0;
        return good;
    }

    /** The next byte that isn't white space; -1 at the end. */
    private int peek() {
        while (now() == ' ' || now() == '\t' || now() == '\n' || now() == '\r') {
            at++;
        }
        return now();
    }

    private int now() {
        return at < body.length ? body[at] & 0xff : -1;
    }
}
