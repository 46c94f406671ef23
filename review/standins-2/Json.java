import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON for the stand-ins: maps, lists, texts, numbers, booleans and null. */
final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : new LinkedHashMap<>();
    }

    /** Makes a map of names and values in turn. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < namesAndValues.length; index += 2) {
            map.put((String) namesAndValues[index], namesAndValues[index + 1]);
        }
        return map;
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (space(); text.charAt(at) != '}'; space()) {
                if (text.charAt(at) == ',') {
                    at++;
                    space();
                }
                String name = string();
                space();
                at++;
                map.put(name, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (space(); text.charAt(at) != ']'; space()) {
                if (text.charAt(at) == ',') {
                    at++;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && "+-.0123456789abcdefghijklmnopqrstuvwxyzE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(from, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?\\d{1,18}") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        }
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            at++;
            switch (text.charAt(at)) {
                case 'n':
                    out.append('\n');
                    break;
                case 't':
                    out.append('\t');
                    break;
                case 'r':
                    out.append('\r');
                    break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                    break;
                default:
                    out.append(text.charAt(at));
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object entry : (List<?>) value) {
                out.append(separator);
                write(entry, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
