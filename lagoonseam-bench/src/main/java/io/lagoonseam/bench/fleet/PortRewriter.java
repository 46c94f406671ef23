package io.lagoonseam.bench.fleet;

import io.lagoonseam.entry.configuration.SourceFile;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Replaces the upstream ports in the files of a file set with the ports on which the stand-ins listen. */
final class PortRewriter {

    private static final Pattern PORT = Pattern.compile("(?m)^(\\s*port:\\s*)(\\d+)\\s*$");

    private PortRewriter() {}

    /**
     * Replaces ports in YAML files; a port without an entry in the map stays as written.
     *
     * @param files the files
     * @param actualPorts the ports of the stand-ins by the ports written in the files
     * @return the files with replaced ports
     */
    static List<SourceFile> rewrite(List<SourceFile> files, Map<Integer, Integer> actualPorts) {
        return files.stream()
                .map(file -> new SourceFile(file.name(), rewrite(file.text(), actualPorts)))
                .toList();
    }

    private static String rewrite(String text, Map<Integer, Integer> actualPorts) {
        Matcher matcher = PORT.matcher(text);
        return matcher.replaceAll(match -> {
            int writtenPort = Integer.parseInt(match.group(2));
            return match.group(1) + actualPorts.getOrDefault(writtenPort, writtenPort);
        });
    }
}
