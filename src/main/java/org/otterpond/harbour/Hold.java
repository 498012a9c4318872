package org.otterpond.harbour;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.otterpond.signal.Flag;

/** The replicated state: the newest configuration, what was taken before it, and the claims of operation keys. */
final class Hold {
    private static final int HISTORY = 64;

    private final long windowMicros;
    private final long answerBytesBound;

    private long revision;
    private String text;
    private final List<Flag> history = new ArrayList<>();
    private final LinkedHashMap<String, Claim> claims = new LinkedHashMap<>();
    private long answerBytes;

    Hold(long windowMicros, long answerBytesBound) {
        this.windowMicros = windowMicros;
        this.answerBytesBound = answerBytesBound;
    }

    long revision() {
        return revision;
    }

    String text() {
        return text;
    }

    int claimCount() {
        return claims.size();
    }

    Claim claim(String key) {
        return claims.get(key);
    }

    /** The digest of the change that was taken under this revision, or null. */
    String digestOf(long rev) {
        for (Flag f : history) {
            if (f.number("rev") == rev) {
                return f.text("digest");
            }
        }
        return null;
    }

    void apply(Flag entry, long now) {
        switch (entry.kind()) {
            case "claim" -> {
                drop(entry.text("key"));
                claims.put(entry.text("key"), new Claim(entry.text("token"), now));
            }
            case "free" -> {
                Claim c = claims.get(entry.text("key"));
                if (c != null && c.token.equals(entry.text("token"))) {
                    drop(entry.text("key"));
                }
            }
            case "config" -> {
                revision = entry.number("rev");
                text = entry.text("text");
                history.add(new Flag("taken").with("rev", revision).with("digest", entry.text("digest")));
                if (history.size() > HISTORY) {
                    history.remove(0);
                }
            }
            default -> throw new IllegalArgumentException("no such entry: " + entry.kind());
        }
    }

    /** Keeps the first run's answer, as long as the bound on kept answers allows. */
    void keepAnswer(String key, String token, Flag answer) {
        Claim c = claims.get(key);
        if (c == null || !c.token.equals(token) || c.answer != null) {
            return;
        }
        long size = sizeOf(answer);
        if (answerBytes + size > answerBytesBound) {
            c.unknown = true;
            return;
        }
        answerBytes += size;
        c.answer = answer;
        c.unknown = false;
    }

    void markUnknown(String key, String token) {
        Claim c = claims.get(key);
        if (c != null && c.token.equals(token) && c.answer == null) {
            c.unknown = true;
        }
    }

    private static long sizeOf(Flag answer) {
        byte[] body = answer.bytes("body");
        return 512L + (body == null ? 0 : body.length);
    }

    private void drop(String key) {
        Claim old = claims.remove(key);
        if (old != null && old.answer != null) {
            answerBytes -= sizeOf(old.answer);
        }
    }

    /** Forgets claims whose window has passed. Claims stand in the order in which they were learnt. */
    void expire(long now) {
        Iterator<Map.Entry<String, Claim>> it = claims.entrySet().iterator();
        while (it.hasNext()) {
            Claim c = it.next().getValue();
            if (now - c.since <= windowMicros) {
                return;
            }
            if (c.answer != null) {
                answerBytes -= sizeOf(c.answer);
            }
            it.remove();
        }
    }

    /** The durable part, whole. */
    Flag snapshot() {
        List<Object> keys = new ArrayList<>(claims.size() * 2);
        claims.forEach((k, c) -> {
            keys.add(k);
            keys.add(c.token);
        });
        return new Flag("state").with("rev", revision).with("text", text).withFlags("history", history)
                .with("claims", keys);
    }

    /** Replaces everything; windows of the claims begin anew. Answers already known for the same runs stay. */
    void load(Flag state, long now) {
        revision = state.number("rev");
        text = state.text("text");
        history.clear();
        history.addAll(state.flags("history"));
        Map<String, Claim> before = new LinkedHashMap<>(claims);
        claims.clear();
        answerBytes = 0;
        List<Object> keys = state.list("claims");
        for (int i = 0; i + 1 < keys.size(); i += 2) {
            String key = (String) keys.get(i);
            Claim c = new Claim((String) keys.get(i + 1), now);
            claims.put(key, c);
            Claim old = before.get(key);
            if (old != null && old.token.equals(c.token) && old.answer != null) {
                keepAnswer(key, c.token, old.answer);
            }
        }
    }
}
