import {Agent, request} from 'undici';
import {ProxyFixture} from './proxy_fixture.test_support.js';

describe('ServiceProxy', () => {
  let fixture: ProxyFixture;
  let agent: Agent;

  beforeEach(async () => {
    agent = new Agent();
    fixture = await ProxyFixture.create({workers: 3});
  });

  afterEach(async () => {
    await agent.close();
    await fixture.close();
  });

  it('passes a request and its answer on with the request id', async () => {
    const answer = await request(`${fixture.origin}/v1/services/s/a/b?c=d`, {
      dispatcher: agent,
      method: 'POST',
      headers: {'x-request-id': 'r1', 'x-idempotent': 'true'},
      body: 'hello',
    });
    expect(answer.statusCode).toBe(200);
    expect(answer.headers['x-request-id']).toBe('r1');
    expect(await answer.body.json()).toMatchObject({echo: 'hello'});
  });

  it('refuses a non-idempotent request without a key', async () => {
    const answer = await request(`${fixture.origin}/v1/services/s/x`, {
      dispatcher: agent,
      method: 'POST',
    });
    expect(answer.statusCode).toBe(400);
    expect(await answer.body.json()).toMatchObject({
      error: 'bad_request',
      ran: 'no',
    });
  });
});
