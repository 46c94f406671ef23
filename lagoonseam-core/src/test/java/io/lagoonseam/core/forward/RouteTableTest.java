package io.lagoonseam.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the selection of a route by host and path, and the split over services by weight. */
public class RouteTableTest {

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                WorkKind.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                List.of(new WeightedService("x", 90), new WeightedService("y", 10)),
                1,
                false);
    }

    private static String findRoute(String host, String path) {
        RouteTable table = new RouteTable(List.of(
                route("root", "a.example", "/"),
                route("short", "a.example", "/chat/"),
                route("long", "a.example", "/chat/long/"),
                route("other", "b.example", "/chat/")));
        return table.find(host, path).map(Route::name).orElse("none");
    }

    @Test
    public void selectsTheLongestPrefix() {
        assertEquals(findRoute("a.example", "/chat/long/7"), "long");
        assertEquals(findRoute("a.example", "/chat/other"), "short");
        assertEquals(findRoute("a.example", "/chat/"), "short");
    }

    @Test
    public void prefixesMatchWholePathSegments() {
        assertEquals(findRoute("a.example", "/chatter"), "root");
        assertEquals(findRoute("b.example", "/chatter"), "none");
    }

    @Test
    public void hostMatchIgnoresCaseAndPort() {
        assertEquals(findRoute("A.Example:8080", "/chat/x"), "short");
        assertEquals(findRoute("c.example", "/chat/x"), "none");
    }

    @Test
    public void splitsByWeight() {
        Route split = route("split", "a.example", "/");
        assertEquals(split.selectService(0), "x");
        assertEquals(split.selectService(0.899), "x");
        assertEquals(split.selectService(0.901), "y");
        assertTrue(split.selectService(0.999_999).equals("y"));
    }
}
