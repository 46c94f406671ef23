package io.lagoonseam.bench.fleet;

import io.lagoonseam.entry.configuration.SourceFile;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Replaces the ports of a file set's upstreams by those that stand-ins listen on. */
final class PortRewriter {

    private static final Pattern PORT = Pattern.compile("(?m)^(\\s*port:\\s*)(\\d+)\\s*$");

    private PortRewriter() {}

    static List<SourceFile> rewrite(List<SourceFile> files, Map<Integer, Integer> actualPorts) {
        return files.stream()
                .map(file -> new SourceFile(file.name(), rewrite(file.text(), actualPorts)))
                .toList();
    }

    private static String rewrite(String text, Map<Integer, Integer> actualPorts) {
        Matcher matcher = PORT.matcher(text);
        return matcher.replaceAll(found -> {
            int written = Integer.parseInt(found.group(2));
            return found.group(1) + actualPorts.getOrDefault(written, written);
        });
    }
}
