/** Tests of dispatcher selection: all nodes agree, and few dispatchers change when nodes join or leave. */
import { expect } from 'chai';
import { Random } from '../../../../src/common/random.js';
import {
  dispatcherCount,
  type FleetMember,
  rankDispatchers,
} from '../../../../src/state/service/replicas/dispatcher-selection.js';

const SERVICES = Array.from({ length: 200 }, (_, index) => `service-${index}`);

function fleet(count: number, capacity: (index: number) => number = () => 1): FleetMember[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `node-${index}`,
    peerAddress: `10.0.0.1:${index}`,
    zone: `zone-${index % 4}`,
    capacity: capacity(index),
  }));
}

const firstOf = (service: string, members: readonly FleetMember[]) =>
  rankDispatchers(service, members)[0]?.name;

describe('rankDispatchers and dispatcherCount', () => {
  it('ranks the same dispatcher first in any order of the members', () => {
    const members = fleet(89);
    const random = new Random(7);
    const shuffled = members.map((member) => ({ member, at: random.integer(1_000) }));
    shuffled.sort((left, right) => left.at - right.at);
    for (const service of SERVICES)
      expect(
        firstOf(
          service,
          shuffled.map(({ member }) => member),
        ),
      ).to.equal(firstOf(service, members));
  });

  it('keeps the first dispatcher when another node leaves, and ranks the second first when it leaves', () => {
    const members = fleet(89);
    for (const service of SERVICES) {
      const [first, second] = rankDispatchers(service, members) as [FleetMember, FleetMember];
      expect(
        firstOf(
          service,
          members.filter(({ name }) => name !== first.name),
        ),
      ).to.equal(second.name);
      expect(
        firstOf(
          service,
          members.filter(({ name }) => name !== second.name),
        ),
      ).to.equal(first.name);
    }
  });

  it('ranks only nodes with at least half the CPU share of the strongest', () => {
    const members = fleet(80, (index) => (index % 4 === 0 ? 1.35 : 0.243));
    for (const service of SERVICES) expect(rankDispatchers(service, members)[0]?.capacity).to.equal(1.35);
  });

  it('spreads many services over the nodes', () => {
    const members = fleet(20);
    const used = new Set(SERVICES.map((service) => firstOf(service, members)));
    expect(used.size).to.be.greaterThan(15);
  });

  it('adds a dispatcher for every 32 replicas', () => {
    expect([0, 1, 32, 33, 3_000].map(dispatcherCount)).to.deep.equal([1, 1, 1, 2, 94]);
  });
});
