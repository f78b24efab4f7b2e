package org.clementinequay.server.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.clementinequay.core.membership.LinkTopology;
import org.clementinequay.core.membership.Member;
import org.clementinequay.server.peer.PeerMessage;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** The hosts of a test, linked as in production. */
final class TestLinks {
  /** Frame prefix, in bytes. */
  private static final int PREFIX_BYTES = 4;

  private static final ObjectWriter WRITER =
      new ObjectMapper(new MessagePackFactory()).writerFor(PeerMessage.class);

  private TestLinks() {}

  /** Returns hosts {@code front-0} and so on, dealt out to the failure domains in turn. */
  static List<Member> members(int hostCount, int domainCount) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < hostCount; i++) {
      members.add(new Member("front-" + i, "domain-" + i % domainCount));
    }
    return members;
  }

  /** Returns the names of the hosts that each host is linked to; the sets can be changed. */
  static Map<String, Set<String>> linked(List<Member> members) {
    LinkTopology topology = new LinkTopology(members);
    Map<String, Set<String>> linked = new TreeMap<>();
    members.forEach(member -> linked.put(member.name(), new TreeSet<>()));
    for (Member member : members) {
      for (Member target : topology.targets(member)) {
        linked.get(member.name()).add(target.name());
        linked.get(target.name()).add(member.name());
      }
    }
    return linked;
  }

  /** Returns the bytes that a message takes on one link. */
  static int frameBytes(PeerMessage message) {
    try {
      return WRITER.writeValueAsBytes(message).length + PREFIX_BYTES;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
